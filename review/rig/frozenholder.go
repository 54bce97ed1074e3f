package main

import (
	"encoding/json"
	"errors"
	"sync"
	"syscall"
	"time"
)

// ligasul holds the figures of ligasul-pool.
var ligasul = sheet{
	services: []string{"base000", "base001", "base002"}, zones: []string{"poa-a", "poa-b", "fln-c"}, machines: []int{4, 2, 2},
	slots: 5, connections: 34, promotion: 300 * time.Millisecond, lag: 8 * time.Millisecond,
}

const (
	// freezeTime is how long the holder stands still.
	freezeTime = 6 * time.Second
	// leadTime is how long another member may take to lead.
	leadTime = 12 * time.Second
	// calmTime is the time between two crashes of a service's primary.
	calmTime = 5500 * time.Millisecond
	// trialTime is when the last crash of the run happens at the latest.
	trialTime = 80 * time.Second
)

// Moments of the freeze, counted from the member's answer. The freeze is moved by a step towards
// the moment at which the holder has read the answer and has not sent the promotion.
const (
	firstMoment = 150 * time.Microsecond
	momentStep  = 35 * time.Microsecond
)

// frozenHolder lets the primaries crash in turn. Each time it freezes the instance that changes the
// primary, at about the moment at which that instance reads the status of the member that it is
// about to promote. If it has not sent the promotion by then, it stays frozen until another
// instance has taken over and has changed the primary.
func frozenHolder(r *rig) (bool, error) {
	if err := r.deploy(ligasul); err != nil {
		return false, err
	}
	usual := r.startTraffic()
	defer usual.end()
	time.Sleep(3 * time.Second)
	for _, g := range r.groups {
		if err := r.changePrimary(g, nil); err != nil {
			return false, err
		}
	}
	moment := firstMoment
	for trial := 0; time.Since(r.start) < trialTime; trial++ {
		g := r.groups[trial%len(r.groups)]
		time.Sleep(time.Until(g.changedAt.Add(calmTime)))
		f := &freeze{rig: r, group: g, moment: moment, frozen: make(chan struct{})}
		if !r.trouble {
			f = nil
		}
		if err := r.changePrimary(g, f); err != nil {
			return false, err
		}
		if r.judgeFences(g.name) {
			return true, nil
		}
		if f != nil && f.late {
			moment = max(moment-momentStep, 0)
		} else {
			moment += momentStep
		}
	}
	return false, nil
}

// freeze stops the holder of a claim.
type freeze struct {
	rig    *rig
	group  *group
	moment time.Duration
	// holder is the frozen instance, and frozen is closed when it stands still.
	holder *instance
	frozen chan struct{}
	// late means that the holder had sent the promotion.
	late bool
}

// arm stops the holder at the moment, once.
func (f *freeze) arm() {
	var once sync.Once
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	f.group.onStatusOfPaused = func() {
		once.Do(func() {
			answered := time.Now()
			holder := f.rig.claimer(f.group)
			if holder == nil {
				return
			}
			for time.Since(answered) < f.moment {
			}
			_ = holder.process.Process.Signal(syscall.SIGSTOP)
			f.holder = holder
			f.rig.note("%s, which changes the primary of %s, is frozen %v after the member's answer", holder.name, f.group.name, f.moment)
			close(f.frozen)
		})
	}
}

// wait waits until the holder is awake again.
func (f *freeze) wait(callsBefore int) error {
	select {
	case <-f.frozen:
	case <-time.After(leadTime):
		return errors.Join(errSetup, errTimeout)
	}
	time.Sleep(100 * time.Millisecond)
	calls := f.rig.promotion.received(f.group.name)
	f.late = len(calls) > callsBefore && calls[len(calls)-1].holder == f.holder.name
	if !f.late {
		time.Sleep(freezeTime)
	}
	f.rig.note("%s wakes again", f.holder.name)
	err := f.holder.process.Process.Signal(syscall.SIGCONT)
	time.Sleep(500 * time.Millisecond)
	return err
}

// changePrimary crashes a service's primary, waits until another member leads and the frozen
// instance is awake, and starts the crashed member again. A nil freeze freezes nothing.
func (r *rig) changePrimary(g *group, f *freeze) error {
	primary := g.primary()
	if primary == nil {
		return errSetup
	}
	calls := len(r.promotion.received(g.name))
	if f != nil {
		f.arm()
	}
	primary.crash()
	if f != nil {
		if err := f.wait(calls); err != nil {
			return err
		}
	}
	err := waitFor(leadTime, "another member leads", func() bool { p := g.primary(); return p != nil && p != primary })
	if err != nil {
		return err
	}
	g.changedAt = time.Now()
	return primary.restart()
}

// claimer returns the instance that made the last claim for a service.
func (r *rig) claimer(g *group) *instance {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	var spec struct {
		Value struct {
			Claimer string `json:"claimer"`
		} `json:"value"`
	}
	_ = json.Unmarshal(r.store.objects[kindClaims][g.name].Spec, &spec)
	return r.find(spec.Value.Claimer)
}

// judgeFences checks ONE on the calls that the platform received for a service: no two holders use
// the same generation number, and no call has a lower one than the platform has seen.
func (r *rig) judgeFences(service string) bool {
	broken := false
	var highest promotionCall
	holders := make(map[uint64]string)
	for _, c := range r.promotion.received(service) {
		if other, used := holders[c.fence]; used && other != c.holder {
			r.note("ONE: %s and %s promote with the same number %d", other, c.holder, c.fence)
			broken = true
		}
		holders[c.fence] = c.holder
		if c.fence < highest.fence {
			r.note("ONE: %s sent %d for %s, %d ms after the platform had seen %d of %s", c.holder, c.fence, service, c.at.Sub(highest.at).Milliseconds(), highest.fence, highest.holder)
			broken = true
			continue
		}
		highest = c
	}
	return broken
}
