package pool

import (
	"math/rand/v2"
	"slices"
	"time"
)

// memberState is what the pool keeps of one member.
type memberState struct {
	address string
	leaving bool
	// idle is ordered by last use, the latest at the end.
	idle    []*entry
	inUse   int
	opening int
	probing int
	// replacing counts closings that make room at the member for another workspace.
	replacing int
	// lanes holds the same counts by workspace.
	lanes map[string]*lane
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

// takeIdle removes and returns the workspace's connection used last; nil if there is none.
func (m *memberState) takeIdle(workspace string) *entry {
	if l := m.lanes[workspace]; l == nil || l.idle == 0 {
		return nil
	}
	for n := len(m.idle) - 1; n >= 0; n-- {
		if m.idle[n].workspace == workspace {
			return m.takeAt(n)
		}
	}
	return nil
}

// takeOldest removes and returns the connection used longest ago.
func (m *memberState) takeOldest() *entry { return m.takeAt(0) }

// takeOldestOf is takeOldest among those of a workspace that has one.
func (m *memberState) takeOldestOf(workspace string) *entry {
	return m.takeAt(slices.IndexFunc(m.idle, func(e *entry) bool { return e.workspace == workspace }))
}

// takeAt removes and returns the idle connection at a place in their order.
func (m *memberState) takeAt(n int) *entry {
	e := m.idle[n]
	m.idle = slices.Delete(m.idle, n, n+1)
	l := m.lane(e.workspace)
	l.idle--
	l.leastIdle = min(l.leastIdle, l.idle)
	return e
}

// addIdle puts a connection behind those used before.
func (m *memberState) addIdle(e *entry) {
	m.idle = append(m.idle, e)
	m.lane(e.workspace).idle++
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

// refusesOpenings reports whether the member has answered two openings or more in a row that
// it takes no more, by the pause that followed the first.
func (m *memberState) refusesOpenings(shortest time.Duration) bool {
	return m.refused && m.pause > shortest
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
