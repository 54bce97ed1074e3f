package bench

import (
	"sync"
	"time"
)

// steps of a failover, in order, each ended by the moment that is named.
const (
	stepDetect  = "detect"  // the first claim is sent to the platform
	stepClaim   = "claim"   // the claim took effect
	stepFence   = "fence"   // a majority has entered the new term
	stepPromote = "promote" // the new primary was promoted
	stepLearn   = "learn"   // the first write is acknowledged
)

var steps = []string{stepDetect, stepClaim, stepFence, stepPromote, stepLearn}

// timeline notes when the steps of one failover ended, seen from the hooks of
// the platform and of the members of one group.
type timeline struct {
	mu      sync.Mutex
	began   time.Time
	ends    map[string]time.Time
	entered map[string]bool
}

func (t *timeline) begin(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.began, t.ends, t.entered = at, map[string]time.Time{}, map[string]bool{}
}

// platformPoint takes a point of the platform's hook.
func (t *timeline) platformPoint(point string) {
	switch point {
	case "groups.put.before":
		t.end(stepDetect)
	case "groups.put.after_before_answer":
		t.end(stepClaim)
	}
}

// memberPoint returns the hook of the member at an address.
func (t *timeline) memberPoint(address string, majority int) func(point string) {
	return func(point string) {
		switch point {
		case "control.enter_term.after_before_answer":
			t.mu.Lock()
			if t.entered != nil {
				t.entered[address] = true
			}
			fenced := len(t.entered) >= majority
			t.mu.Unlock()
			if fenced {
				t.end(stepFence)
			}
		case "control.promote.after_before_answer":
			t.end(stepPromote)
		}
	}
}

func (t *timeline) end(step string) { t.endAt(step, time.Now()) }

// endAt notes the first end of a step since the failover began.
func (t *timeline) endAt(step string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.ends[step]; t.ends != nil && !ok {
		t.ends[step] = at
	}
}

// durations returns how long each step took and the whole gap.
func (t *timeline) durations() (map[string]time.Duration, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	split := map[string]time.Duration{}
	last := t.began
	for _, step := range steps {
		if end, ok := t.ends[step]; ok && end.After(last) {
			split[step] = end.Sub(last)
			last = end
		}
	}
	total := t.ends[stepLearn].Sub(t.began)
	t.ends = nil
	return split, total
}
