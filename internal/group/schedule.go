package group

import (
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// pollJitter is the maximum fraction of an interval that is added to it at random, so that
// instances that started together do not poll at the same time.
const pollJitter = 0.1

// stalledPoll is the time between two reports of a replica that makes no progress although
// the primary is ahead, and of a primary whose replicas make none.
const stalledPoll = 100 * time.Millisecond

// minSearchPoll and maxSearchPoll bound the time between two reports of a replica while
// the group has no responding primary. A promotion takes several times the minimum, so
// learning of the new primary that much later costs little in comparison. Between the
// bounds, the time is the duration of the search divided by searchDivisor: while an
// instance is cut off for seconds, these queries are most of its load on the members.
const (
	minSearchPoll = 20 * time.Millisecond
	maxSearchPoll = 150 * time.Millisecond
	searchDivisor = 32
)

const (
	failuresPerDoubling = 3
	maxDoublings        = 4
	// maxMissDoublings limits the time between queries to a replica that lacks a wanted
	// position to 16 times FastPoll.
	maxMissDoublings = 4
)

// query is the next step of a poller: sleep for delay if it is positive, otherwise query
// the member.
type query struct {
	delay time.Duration
	// wait makes the member answer only once it holds position.
	wait bool
	// wanted is set if a waiter needs the member to hold position.
	wanted   bool
	position logpos.Position
	timeout  time.Duration
}

// nextQuery decides what to query the member for, and when.
func (p *poller) nextQuery() query {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.control == nil {
		return query{delay: p.untilNextQuery(p.probeInterval()), timeout: p.probeTimeout()}
	}
	if p.view.Address == p.w.primary {
		return p.nextPrimaryQuery()
	}
	return p.nextReplicaQuery()
}

func (p *poller) nextPrimaryQuery() query {
	q := query{timeout: p.responseTimes.timeout(p.w.intervals.Probe)}
	switch {
	case p.w.primaryMarkNeeded():
	case !p.w.stalledSince().IsZero():
		// The primary may have died after its last answer while all callers wait for
		// confirmations, so that no statement would detect it.
		q.delay = p.untilNextPoll(min(p.w.intervals.PrimaryPoll, stalledPoll))
	default:
		q.delay = p.untilNextPoll(p.w.intervals.PrimaryPoll)
	}
	return q
}

func (p *poller) nextReplicaQuery() query {
	q := query{timeout: p.responseTimes.timeout(p.w.intervals.Probe)}
	q.position, q.wanted = p.w.wantedPosition(p)
	switch {
	case q.wanted && attached(p.view.Status, p.w.term) && !p.waitEndedEarly:
		q.wait = true
		q.timeout = p.w.intervals.Wait
		q.delay = p.w.hedgeDelay(p)
	case q.wanted:
		q.delay = max(p.untilNextQuery(p.missInterval()), p.w.hedgeDelay(p))
	case p.w.writesImpossible():
		q.delay = p.untilNextQuery(max(p.w.intervals.FastPoll, p.w.searchInterval()))
	case !p.stalledAt.IsZero():
		// A stall blocks writes and, if it lasts, causes a failover. Without polls it would
		// continue here after the replica has caught up.
		q.delay = p.untilNextQuery(min(p.w.intervals.ReplicaPoll, stalledPoll))
	default:
		q.delay = p.untilNextPoll(p.w.intervals.ReplicaPoll)
	}
	if p.w.floorNeedsReport(p) {
		q.delay = min(q.delay, p.untilNextQuery(max(p.w.intervals.FastPoll, floorPoll)))
	}
	return q
}

// missInterval is the time between two queries to a replica that lacks a position that a
// waiter needs. It grows, because a replica that receives nothing for a while would
// otherwise be queried hundreds of times with the same result.
func (p *poller) missInterval() time.Duration {
	return p.w.intervals.FastPoll << min(max(p.misses-1, 0), maxMissDoublings)
}

// hedgeDelay is how long a replica's query is delayed so that a better replica can answer
// the waiters first. The best replica has the fewest misses, and then the fastest answers.
func (w *Watcher) hedgeDelay(p *poller) time.Duration {
	if w.intervals.HedgeDelay == 0 {
		return 0
	}
	remaining := time.Duration(0)
	if p.misses > 0 {
		remaining = p.untilNextQuery(p.missInterval())
	}
	if w.bestReplica() == p {
		return remaining
	}
	return max(remaining, w.intervals.HedgeDelay-w.clock.Now().Sub(w.wantedSince(p)))
}

// bestReplica returns the replica that is queried first; nil if none is reachable.
func (w *Watcher) bestReplica() *poller {
	var best *poller
	for _, p := range w.pollers {
		if p.view.Address == w.primary || !p.view.FailingSince.IsZero() || !p.connected {
			continue
		}
		if best == nil || p.preferredTo(best) {
			best = p
		}
	}
	return best
}

func (p *poller) preferredTo(other *poller) bool {
	if p.misses != other.misses {
		return p.misses < other.misses
	}
	return p.responseTimes.fastest() < other.responseTimes.fastest()
}

// probeInterval is the time between two probes on new connections. The first probe starts
// immediately; probes of a member that stays unreachable become less frequent.
func (p *poller) probeInterval() time.Duration {
	i := p.w.intervals
	switch {
	case p.busy:
		return i.MaxProbeInterval
	case p.view.Failures == 0:
		return 0
	}
	backoff := p.w.clock.Now().Sub(p.view.FailingSince) / 8
	return max(i.Probe, p.jitter(min(i.MaxProbeInterval, backoff)))
}

// probeTimeout is the timeout of a probe on a new connection. It doubles after every few
// consecutive failures: otherwise a member that has become slower than the current timeout
// would never be seen to answer again.
func (p *poller) probeTimeout() time.Duration {
	doublings := min(p.view.Failures/failuresPerDoubling, maxDoublings)
	return p.responseTimes.timeout(p.w.intervals.Probe) << doublings
}

// untilNextPoll is the time left until the member is polled while no waiter needs its
// report. An answer to a statement carries the same information and counts as a poll.
func (p *poller) untilNextPoll(interval time.Duration) time.Duration {
	last := p.queriedAt
	if p.answeredStatementAt.After(last) {
		last = p.answeredStatementAt
	}
	return p.jitter(interval) - p.w.clock.Now().Sub(last)
}

// untilNextQuery is the time left of an interval that began at the last query.
func (p *poller) untilNextQuery(interval time.Duration) time.Duration {
	return interval - p.w.clock.Now().Sub(p.queriedAt)
}

func (p *poller) jitter(d time.Duration) time.Duration {
	return d + time.Duration(pollJitter*p.w.rand.Float64()*float64(d))
}

// searchInterval is the time between two reports of a replica during a search for the
// primary. It starts the search if none is in progress.
func (w *Watcher) searchInterval() time.Duration {
	now := w.clock.Now()
	if w.searchingSince.IsZero() {
		w.searchingSince = now
	}
	return min(max(now.Sub(w.searchingSince)/searchDivisor, minSearchPoll), maxSearchPoll)
}

// writesImpossible reports whether the term has no responding primary, or too few replicas
// have reported themselves attached in it.
func (w *Watcher) writesImpossible() bool {
	p := w.findPoller(w.primary)
	return p == nil || p.view.Failures > 0 || w.confirmedAt().IsZero()
}
