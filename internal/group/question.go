package group

import (
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// pollSpread is the share of an interval by which polls are spread, so that
// instances that started together do not ask together.
const pollSpread = 0.1

const (
	failuresPerDoubling = 3
	maxDoublings        = 4
)

// question is what a follower does next: sleep for delay, or ask.
type question struct {
	delay    time.Duration
	wait     bool
	position logpos.Position
	bound    time.Duration
}

// next decides what the member is asked, and when.
func (f *follower) next() question {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	if f.control == nil {
		return question{delay: f.until(f.probeInterval()), bound: f.probeBound()}
	}
	if f.view.Address == f.w.primary {
		return f.nextOfPrimary()
	}
	return f.nextOfReplica()
}

func (f *follower) nextOfPrimary() question {
	q := question{bound: f.pace.bound(f.w.intervals.Probe)}
	if !f.w.barrierWaits() {
		q.delay = f.until(f.spread(f.w.intervals.PrimaryPoll))
	}
	return q
}

func (f *follower) nextOfReplica() question {
	status := question{bound: f.pace.bound(f.w.intervals.Probe)}
	position, wanted := f.w.demand(f)
	switch {
	case wanted && attached(f.view.Status, f.w.term) && !f.idle:
		return question{wait: true, position: position, bound: f.w.intervals.Wait}
	case wanted || f.w.unsettled():
		status.delay = f.until(f.w.intervals.FastPoll)
	default:
		status.delay = f.until(f.spread(f.w.intervals.ReplicaPoll))
	}
	return status
}

// probeInterval is the time between two probes on new connections. The first
// follows at once; those of a member that stays away grow rarer.
func (f *follower) probeInterval() time.Duration {
	i := f.w.intervals
	switch {
	case f.busy:
		return i.Away
	case f.view.Failures == 0:
		return 0
	}
	away := f.w.clock.Now().Sub(f.view.Failing) / 8
	return max(i.Probe, f.spread(min(i.Away, away)))
}

// probeBound is how long a probe on a new connection may take. It doubles with
// every few failures in a row: a member that has become slower than any bound in
// use would else never be heard again.
func (f *follower) probeBound() time.Duration {
	doublings := min(f.view.Failures/failuresPerDoubling, maxDoublings)
	return f.pace.bound(f.w.intervals.Probe) << doublings
}

// until is the time left of an interval that began at the last question.
func (f *follower) until(interval time.Duration) time.Duration {
	return interval - f.w.clock.Now().Sub(f.askedAt)
}

func (f *follower) spread(d time.Duration) time.Duration {
	return d + time.Duration(pollSpread*f.w.rand.Float64()*float64(d))
}

// unsettled reports whether writes are impossible: the term has no primary that
// answers, or too few replicas have reported themselves attached in it.
func (w *Watcher) unsettled() bool {
	f := w.find(w.primary)
	return f == nil || f.view.Failures > 0 || w.confirmedAt().IsZero()
}
