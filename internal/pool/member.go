package pool

import (
	"math/rand/v2"
	"time"
)

// memberState is what the pool keeps of one member.
type memberState struct {
	address string
	leaving bool
	// idle is ordered by last use, the latest at the end.
	idle []*entry
	// leastIdle is how many were idle all the time since the last trim.
	leastIdle int
	inUse     int
	opening   int
	probing   int
	// pause is the present length of the pause between failed openings; zero
	// after one that went well.
	pause       time.Duration
	pausedUntil time.Time
	// refused says that the last failure was the member's own "too many
	// connections" and not a member out of reach.
	refused bool
}

// counted is how many connections to the member count.
func (m *memberState) counted() int { return len(m.idle) + m.inUse + m.opening + m.probing }

// takeIdle removes and returns the connection used last; nil if there is none.
func (m *memberState) takeIdle() *entry {
	n := len(m.idle)
	if n == 0 {
		return nil
	}
	e := m.idle[n-1]
	m.idle = m.idle[:n-1]
	m.leastIdle = min(m.leastIdle, n-1)
	return e
}

// takeOldest removes and returns the connection used longest ago.
func (m *memberState) takeOldest() *entry {
	e := m.idle[0]
	m.idle = m.idle[1:]
	return e
}

// mayOpen reports whether an opening may start now.
func (m *memberState) mayOpen(now time.Time) bool {
	if m.leaving || now.Before(m.pausedUntil) {
		return false
	}
	// After a failure one opening at a time tries the member: were all allowed,
	// each end of a pause would send a burst to a member that is full or just back.
	return m.pause == 0 || m.opening == 0
}

// holdBack begins a pause after a failed opening, twice as long as the one
// before and jittered between a half and the whole of it.
func (m *memberState) holdBack(now time.Time, r *rand.Rand, shortest, longest time.Duration) {
	m.pause = min(max(2*m.pause, shortest), longest)
	half := m.pause / 2
	m.pausedUntil = now.Add(half + time.Duration(r.Int64N(int64(half)+1)))
}

// recovered ends the holding back after an opening that went well.
func (m *memberState) recovered() {
	m.pause = 0
	m.pausedUntil = time.Time{}
	m.refused = false
}
