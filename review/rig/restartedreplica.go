package main

import (
	"errors"
	"sync"
	"time"
)

const (
	// behindLag is the lag of the replica before it crashes, and caughtUpLag its lag afterwards.
	behindLag   = 400 * time.Millisecond
	caughtUpLag = 2 * time.Millisecond
	// busyWait is how long control statements wait for a slot of the member that is promoted.
	busyWait = 30 * time.Millisecond
	// crashTime is how long the replica is down.
	crashTime = 200 * time.Millisecond
	// noticeTime is how long the other callers go on after the cut, so that all instances notice it.
	noticeTime = 60 * time.Millisecond
	// warmReads is the number of reads by which the instance has just heard of each member.
	warmReads = 12
)

// restartedReplica cuts the primary off from all instances but one. While another member is being
// promoted, a replica that was paused for that crashes and starts again; the new primary is cut off
// from its replicas. Then the instance that still reaches the old primary writes.
func restartedReplica(r *rig) (bool, error) {
	s := ligasul
	s.services = s.services[:1]
	r.findOwner = r.ownerOf
	if err := r.deploy(s); err != nil {
		return false, err
	}
	g := r.groups[0]
	old, next, replica := g.members[0], g.members[1], g.members[2]
	near := r.find("edge-" + old.zone + "-1")
	g.mu.Lock()
	replica.lag = behindLag
	next.controlWait = busyWait
	g.mu.Unlock()
	usual := r.startTrafficAt(func(i *instance) bool { return i != near })
	defer usual.end()
	time.Sleep(4 * time.Second)
	writer, err := connect(r.record, "requester-1", near.front(), dbPrimary)
	if err != nil {
		return false, err
	}
	reader, err := connect(r.record, "requester-2", near.front(), dbBounded)
	if err != nil {
		return false, err
	}
	if _, a, err := writer.query("WRITE item1 one"); err != nil || a.isErr {
		return false, errors.Join(errSetup, err)
	}
	for range warmReads {
		_, _, _ = reader.query("READ item1")
	}
	effect := time.Now()
	if r.trouble {
		effect, err = r.replaceCutPrimary(g, old, next, replica, near, usual, reader)
		if err != nil {
			return false, err
		}
	}
	broken := false
	for range 3 {
		write, a, err := writer.query("WRITE item1 two")
		run, ran := g.run(write)
		if err == nil && !a.isErr && ran && run.member == old.id && r.trouble {
			r.note("ONE: the write %s was committed at %s, %d ms after the promotion of %s took effect, and acknowledged", write, old.id, run.at.Sub(effect).Milliseconds(), next.id)
			broken = true
		}
	}
	return broken, nil
}

// replaceCutPrimary cuts the primary off, crashes the replica as soon as it is paused, and returns
// when the next primary leads and the replica is back.
func (r *rig) replaceCutPrimary(g *group, old, next, replica *member, near *instance, usual *traffic, reader *requester) (time.Time, error) {
	r.crashPaused(g, replica)
	g.mu.Lock()
	g.beforePromotion = g.cutLinks
	g.mu.Unlock()
	r.cutFromInstances(old, near)
	time.Sleep(noticeTime)
	usual.resting.Store(true)
	running := func() bool { g.mu.Lock(); defer g.mu.Unlock(); return replica.running }
	go func() {
		_ = waitFor(leadTime, "the replica is down", func() bool { return !running() })
		_ = waitFor(leadTime, "the replica is back", running)
		for range warmReads {
			_, _, _ = reader.query("READ item1")
		}
	}()
	if err := waitFor(leadTime, "the next primary leads", func() bool { return g.primary() == next }); err != nil {
		return time.Time{}, err
	}
	effect := time.Now()
	return effect, waitFor(time.Second, "the replica is back", running)
}

// crashPaused crashes a replica once it has answered a PAUSE, and starts it again.
func (r *rig) crashPaused(g *group, m *member) {
	var once sync.Once
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onPause = func(paused *member) {
		if paused != m {
			return
		}
		once.Do(func() {
			go func() {
				time.Sleep(2 * time.Millisecond)
				m.crash()
				time.Sleep(crashTime)
				g.mu.Lock()
				m.lag = caughtUpLag
				g.mu.Unlock()
				_ = m.restart()
			}()
		})
	}
}
