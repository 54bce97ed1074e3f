package quota

import (
	"slices"
	"time"
)

// Shares decides to which limiter this instance delegates its share of each shard, and makes the
// leases. It does no I/O. It is not safe for concurrent use.
//
// A share is free when no lease of it stands: the instance then delegates it to the limiter that
// its view of the failure domain names. While a lease stands at another limiter, no other one is
// made, and the tokens of the shard are asked for where the share still is.
type Shares struct {
	process string
	number  uint64
	shards  [shardCount]shareState
	// startedAt is when this process started. Until cleared, one before it may have left
	// leases that stand.
	startedAt time.Time
	cleared   bool
	// clocks holds what is known of the limiters' clocks.
	clocks map[string]limiterClock
}

// shareState is where the share of one shard is.
type shareState struct {
	limiter string
	// leaseEnd is when the last lease has ended, by this instance's clock.
	leaseEnd time.Time
	// freeSince is when nobody held the share any more; zero while the time before the
	// lease that is made next is counted already.
	freeSince time.Time
}

// limiterClock is what one answer told of a limiter's clock.
type limiterClock struct {
	process string
	clock   int64
	// heardAt is when the answer was here; the clock showed the value at that time or
	// before.
	heardAt time.Time
}

// NewShares returns the shares of an instance whose process started at a time. An earlier
// process may have delegated them just before.
func NewShares(process string, startedAt time.Time) *Shares {
	s := &Shares{process: process, startedAt: startedAt, clocks: make(map[string]limiterClock)}
	for i := range s.shards {
		s.shards[i] = shareState{leaseEnd: startedAt.Add(leaseLength), freeSince: startedAt.Add(leaseLength)}
	}
	return s
}

// clear reports whether leases of an earlier process are known to have ended just now, before
// their time: every limiter of the failure domain has answered this process, and has dropped
// what it had of another one.
func (s *Shares) clear(near []string, now time.Time) bool {
	if s.cleared || !now.Before(s.startedAt.Add(leaseLength)) {
		return false
	}
	for _, id := range near {
		if _, answered := s.clocks[id]; !answered {
			return false
		}
	}
	s.cleared = len(near) > 0
	for shard := range s.shards {
		if state := &s.shards[shard]; s.cleared && state.limiter == "" {
			*state = shareState{leaseEnd: now, freeSince: now}
		}
	}
	return s.cleared
}

// limiterOf returns the limiter to ask for tokens of a shard: chosen, or, while a lease stands,
// the one that has it.
func (s *Shares) limiterOf(shard int, chosen string, now time.Time) string {
	state := &s.shards[shard]
	if state.limiter != "" && now.Before(state.leaseEnd) {
		return state.limiter
	}
	return chosen
}

// lease makes a lease for a limiter, for the shards whose shares may go there; nil if there is
// none, or the limiter's clock is not known. chosen names the limiter of each shard.
func (s *Shares) lease(limiter string, parts int, chosen func(shard int) string, now time.Time) *lease {
	c, ok := s.clocks[limiter]
	if !ok || parts <= 0 {
		return nil
	}
	end := c.heardAt.Add(leaseLength)
	if !end.After(now) {
		// What is known of the clock is too old for any lease.
		return nil
	}
	s.number++
	n := &lease{Process: c.process, Until: c.clock + leaseLength.Microseconds(), Number: s.number, Parts: parts}
	for shard := range s.shards {
		state := &s.shards[shard]
		if chosen(shard) != limiter || state.limiter != limiter && now.Before(state.leaseEnd) {
			continue
		}
		if !now.Before(state.leaseEnd) {
			s.noteIdle(n, shard, now)
		}
		n.Shards = append(n.Shards, shard)
		state.limiter, state.freeSince = limiter, time.Time{}
		if end.After(state.leaseEnd) {
			state.leaseEnd = end
		}
	}
	if len(n.Shards) == 0 {
		return nil
	}
	return n
}

// noteIdle adds to a lease for how long nobody held the share of a shard.
func (s *Shares) noteIdle(n *lease, shard int, now time.Time) {
	since := s.shards[shard].freeSince
	if since.IsZero() {
		since = s.shards[shard].leaseEnd
	}
	if idle := now.Sub(since); idle > 0 {
		if n.Idle == nil {
			n.Idle = make(map[int]int64)
		}
		n.Idle[shard] = idle.Microseconds()
	}
}

// heard takes in a limiter's answer to a request that was sent at a time. One of another process
// than before says that the leases of the one before have ended with it, unless the request was
// sent before that one was heard of: then it is an answer of an earlier process that was long on
// its way, and the leases of the present one stand.
func (s *Shares) heard(limiter string, r response, asked, now time.Time) {
	before, known := s.clocks[limiter]
	if known && before.process == r.Process && before.clock > r.Clock {
		return
	}
	if known && before.process != r.Process && !asked.After(before.heardAt) {
		return
	}
	s.clocks[limiter] = limiterClock{process: r.Process, clock: r.Clock, heardAt: now}
	if !known || before.process == r.Process {
		return
	}
	for shard := range s.shards {
		state := &s.shards[shard]
		if state.limiter == limiter && now.Before(state.leaseEnd) {
			*state = shareState{leaseEnd: now, freeSince: now}
		}
	}
}

// due reports whether a limiter should be asked for its clock or sent a lease now, before the
// last one is too near its end.
func (s *Shares) due(limiter string, chosen func(shard int) string, now time.Time) bool {
	if _, known := s.clocks[limiter]; !known {
		return true
	}
	for shard := range s.shards {
		state := s.shards[shard]
		if chosen(shard) != limiter {
			continue
		}
		if state.limiter != limiter && now.Before(state.leaseEnd) {
			continue
		}
		if state.leaseEnd.Sub(now) < renewBefore {
			return true
		}
	}
	return false
}

// renewBefore is how long before its end a lease is renewed. A lease is dated by the limiter's
// last answer, so that one made a time behind that answer is shorter by as much.
const renewBefore = 400 * time.Millisecond

// limiters returns the limiters that the shards' shares belong to, each once.
func limiters(chosen func(shard int) string) []string {
	var all []string
	for shard := range shardCount {
		if id := chosen(shard); !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}
