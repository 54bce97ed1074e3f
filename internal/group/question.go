package group

import (
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// pollSpread is the share of an interval by which polls are spread, so that
// instances that started together do not ask together.
const pollSpread = 0.1

// stalledPoll is the time between two reports of a replica that has not got any
// further although the primary is ahead, and of a primary whose replicas have not.
const stalledPoll = 100 * time.Millisecond

// searchPoll is the least time between two reports of a replica while the group has no
// primary that answers, and searchPollMost the most. The promotion takes several times
// the least, and who learns of the new primary that much later loses nothing against
// it. In between the time is searchPart of how long the search has gone on: where an
// instance is cut off for seconds, the questions are most of what it costs.
const (
	searchPoll     = 20 * time.Millisecond
	searchPollMost = 150 * time.Millisecond
	searchPart     = 32
)

const (
	failuresPerDoubling = 3
	maxDoublings        = 4
	// maxMissDoublings bounds the pause between questions to a replica that
	// misses a position, at 16 times the fast poll.
	maxMissDoublings = 4
)

// question is what a follower does next: sleep for delay, or ask.
type question struct {
	delay time.Duration
	// wait asks the member to answer once it holds position.
	wait bool
	// wanted says that somebody waits for the member to hold position.
	wanted   bool
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
	switch {
	case f.w.barrierWaits():
	case !f.w.stalledSince().IsZero():
		// It may have died behind its last answer, with every caller waiting for a
		// confirmation and no statement that would meet its end.
		q.delay = f.untilPoll(min(f.w.intervals.PrimaryPoll, stalledPoll))
	default:
		q.delay = f.untilPoll(f.w.intervals.PrimaryPoll)
	}
	return q
}

func (f *follower) nextOfReplica() question {
	q := question{bound: f.pace.bound(f.w.intervals.Probe)}
	q.position, q.wanted = f.w.demand(f)
	switch {
	case q.wanted && attached(f.view.Status, f.w.term) && !f.idle:
		q.wait = true
		q.bound = f.w.intervals.Wait
		q.delay = f.w.turn(f)
	case q.wanted:
		q.delay = max(f.until(f.missPause()), f.w.turn(f))
	case f.w.unsettled():
		q.delay = f.until(max(f.w.intervals.FastPoll, f.w.searchPause()))
	case !f.stalledAt.IsZero():
		// A stall is held against writes and in the end against the primary. It must
		// not outlive its cause because nobody asks.
		q.delay = f.until(min(f.w.intervals.ReplicaPoll, stalledPoll))
	default:
		q.delay = f.untilPoll(f.w.intervals.ReplicaPoll)
	}
	if f.w.floorWaits(f) {
		q.delay = min(q.delay, f.until(max(f.w.intervals.FastPoll, floorPoll)))
	}
	return q
}

// missPause is the time between two questions to a replica that has not got as
// far as somebody waits for. It grows: a replica that receives nothing for a
// while would else be asked hundreds of times for the same answer.
func (f *follower) missPause() time.Duration {
	return f.w.intervals.FastPoll << min(max(f.misses-1, 0), maxMissDoublings)
}

// turn is how long a replica leaves a question that somebody waits for to a
// better one. The best replica has the fewest misses and answers fastest.
func (w *Watcher) turn(f *follower) time.Duration {
	if w.intervals.Spread == 0 {
		return 0
	}
	rest := time.Duration(0)
	if f.misses > 0 {
		rest = f.until(f.missPause())
	}
	if w.best() == f {
		return rest
	}
	return max(rest, w.intervals.Spread-w.clock.Now().Sub(w.demandedSince(f)))
}

// best returns the replica that is asked first; nil if none answers.
func (w *Watcher) best() *follower {
	var best *follower
	for _, f := range w.followers {
		if f.view.Address == w.primary || !f.view.Failing.IsZero() || !f.connected {
			continue
		}
		if best == nil || f.betterThan(best) {
			best = f
		}
	}
	return best
}

func (f *follower) betterThan(o *follower) bool {
	if f.misses != o.misses {
		return f.misses < o.misses
	}
	return f.pace.usual() < o.pace.usual()
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

// untilPoll is the time left until a member that nobody waits for is polled. An
// answer to a statement tells as much as a poll, so that it counts as one.
func (f *follower) untilPoll(interval time.Duration) time.Duration {
	last := f.askedAt
	if f.observedAt.After(last) {
		last = f.observedAt
	}
	return f.spread(interval) - f.w.clock.Now().Sub(last)
}

// until is the time left of an interval that began at the last question.
func (f *follower) until(interval time.Duration) time.Duration {
	return interval - f.w.clock.Now().Sub(f.askedAt)
}

func (f *follower) spread(d time.Duration) time.Duration {
	return d + time.Duration(pollSpread*f.w.rand.Float64()*float64(d))
}

// searchPause is the time between two reports of a replica in a search that goes on now.
func (w *Watcher) searchPause() time.Duration {
	now := w.clock.Now()
	if w.searchingSince.IsZero() {
		w.searchingSince = now
	}
	return min(max(now.Sub(w.searchingSince)/searchPart, searchPoll), searchPollMost)
}

// unsettled reports whether writes are impossible: the term has no primary that
// answers, or too few replicas have reported themselves attached in it.
func (w *Watcher) unsettled() bool {
	f := w.find(w.primary)
	return f == nil || f.view.Failures > 0 || w.confirmedAt().IsZero()
}
