package quota

import (
	"slices"
	"time"
)

// Delegator decides to which limiter this instance delegates its share of each shard, and
// creates the leases. It does no I/O and is not safe for concurrent use.
//
// A share is free when no lease of it is valid: the instance then delegates it to the limiter
// that the current assignment names. While a lease is valid at one limiter, the share is not
// leased to another, and tokens of the shard are requested from the limiter that holds the
// lease.
type Delegator struct {
	process      string
	lastSequence uint64
	shares       [shardCount]shareState
	// startedAt is when this process started. The leases of an earlier process end within
	// leaseDuration of it, or are known to have ended when earlierLeasesEnded is set.
	startedAt          time.Time
	earlierLeasesEnded bool
	// clocks holds the last known clock of each limiter.
	clocks map[string]limiterClock
}

// shareState is the limiter that a shard's share is delegated to, and until when.
type shareState struct {
	limiter string
	// leaseEnd is the latest time, by this instance's clock, at which the newest lease can end.
	leaseEnd time.Time
	// freeSince is when the share became free; zero if the newest lease has already reported
	// the free time before it, in which case the share is free from leaseEnd on.
	freeSince time.Time
}

// limiterClock is a limiter's clock as of one answer.
type limiterClock struct {
	process string
	clock   int64
	// receivedAt is when the answer arrived; the clock showed the value then or earlier.
	receivedAt time.Time
}

// NewDelegator returns the delegator of a process that started at startedAt. An earlier process
// of the instance may have delegated its shares just before.
func NewDelegator(process string, startedAt time.Time) *Delegator {
	d := &Delegator{process: process, startedAt: startedAt, clocks: make(map[string]limiterClock)}
	for i := range d.shares {
		d.shares[i] = shareState{leaseEnd: startedAt.Add(leaseDuration), freeSince: startedAt.Add(leaseDuration)}
	}
	return d
}

// endEarlierLeases frees the shares that an earlier process may have leased, if every limiter of
// the failure domain has answered this process, and reports whether it did. A limiter drops the
// lease of an instance's earlier process when it receives a request from a new one, so none of
// those leases is valid by then.
func (d *Delegator) endEarlierLeases(limiterIDs []string, now time.Time) bool {
	if d.earlierLeasesEnded || !now.Before(d.startedAt.Add(leaseDuration)) {
		return false
	}
	for _, id := range limiterIDs {
		if _, answered := d.clocks[id]; !answered {
			return false
		}
	}
	d.earlierLeasesEnded = len(limiterIDs) > 0
	for shard := range d.shares {
		if state := &d.shares[shard]; d.earlierLeasesEnded && state.limiter == "" {
			*state = shareState{leaseEnd: now, freeSince: now}
		}
	}
	return d.earlierLeasesEnded
}

// currentLimiter returns the limiter to ask for tokens of a shard: the one that holds a valid
// lease, or else the assigned one.
func (d *Delegator) currentLimiter(shard int, assigned string, now time.Time) string {
	state := &d.shares[shard]
	if state.limiter != "" && now.Before(state.leaseEnd) {
		return state.limiter
	}
	return assigned
}

// newLease creates a lease for a limiter, for the shards whose shares may be delegated to it;
// nil if there is none, or if the limiter's clock is not known or was read too long ago.
// limiterFor returns the assigned limiter of a shard.
func (d *Delegator) newLease(limiter string, shareCount int, limiterFor func(shard int) string, now time.Time) *lease {
	c, ok := d.clocks[limiter]
	if !ok || shareCount <= 0 {
		return nil
	}
	end := c.receivedAt.Add(leaseDuration)
	if !end.After(now) {
		// The known clock value is too old for a lease.
		return nil
	}
	d.lastSequence++
	created := &lease{Process: c.process, Until: c.clock + leaseDuration.Microseconds(), Sequence: d.lastSequence, ShareCount: shareCount}
	for shard := range d.shares {
		state := &d.shares[shard]
		if limiterFor(shard) != limiter || state.limiter != limiter && now.Before(state.leaseEnd) {
			continue
		}
		if !now.Before(state.leaseEnd) {
			d.addFreeTime(created, shard, now)
		}
		created.Shards = append(created.Shards, shard)
		state.limiter, state.freeSince = limiter, time.Time{}
		if end.After(state.leaseEnd) {
			state.leaseEnd = end
		}
	}
	if len(created.Shards) == 0 {
		return nil
	}
	return created
}

// addFreeTime adds to a lease for how long the share of a shard was free.
func (d *Delegator) addFreeTime(l *lease, shard int, now time.Time) {
	since := d.shares[shard].freeSince
	if since.IsZero() {
		since = d.shares[shard].leaseEnd
	}
	if free := now.Sub(since); free > 0 {
		if l.FreeMicros == nil {
			l.FreeMicros = make(map[int]int64)
		}
		l.FreeMicros[shard] = free.Microseconds()
	}
}

// recordResponse records a limiter's answer to a request that was sent at sentAt. If the answer is
// from another process than the last one, the limiter has restarted, and the leases at its earlier
// process have ended. Such an answer is ignored if its request was sent before the last answer
// arrived: it is then a delayed one from an earlier process, and the current leases remain valid.
func (d *Delegator) recordResponse(limiter string, r response, sentAt, now time.Time) {
	previous, known := d.clocks[limiter]
	if known && previous.process == r.Process && previous.clock > r.Clock {
		return
	}
	if known && previous.process != r.Process && !sentAt.After(previous.receivedAt) {
		return
	}
	d.clocks[limiter] = limiterClock{process: r.Process, clock: r.Clock, receivedAt: now}
	if !known || previous.process == r.Process {
		return
	}
	for shard := range d.shares {
		state := &d.shares[shard]
		if state.limiter == limiter && now.Before(state.leaseEnd) {
			*state = shareState{leaseEnd: now, freeSince: now}
		}
	}
}

// needsRequest reports whether a limiter should be asked for its clock, or be sent a lease
// because the last one ends within renewalMargin.
func (d *Delegator) needsRequest(limiter string, limiterFor func(shard int) string, now time.Time) bool {
	if _, known := d.clocks[limiter]; !known {
		return true
	}
	for shard := range d.shares {
		state := d.shares[shard]
		if limiterFor(shard) != limiter {
			continue
		}
		if state.limiter != limiter && now.Before(state.leaseEnd) {
			continue
		}
		if state.leaseEnd.Sub(now) < renewalMargin {
			return true
		}
	}
	return false
}

// renewalMargin is how long before its end a lease is renewed. A lease runs from the limiter's
// last answer, so it is shortened by the time between that answer and its creation.
const renewalMargin = 400 * time.Millisecond

// assignedLimiterIDs returns the distinct IDs of the limiters that the shards are assigned to.
func assignedLimiterIDs(limiterFor func(shard int) string) []string {
	var all []string
	for shard := range shardCount {
		if id := limiterFor(shard); !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}
