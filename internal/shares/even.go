package shares

import (
	"context"
	"sync"
)

// Even is a part of what each member takes, by the number of homes alone. It fits members that limit their connections themselves and
// refuse one too many without harm. Two instances may disagree for a moment about
// how many homes there are; then a member refuses a connection and the pool waits,
// which costs less than a ledger that every instance writes.
type Even struct {
	// Connections is bounded by the share.
	Connections Resource
	// Each is told how many connections the share has to each member.
	Each func(perMember int)
	// Control is how many connections to each member a home uses beside those of
	// Connections.
	Control int
	// Part returns this instance's part of a number of connections.
	Part func(total int) int
	// SeatChanged is called with true when the share is held and with false before
	// it is given up.
	SeatChanged func(seated bool)

	mu         sync.Mutex
	allocation Allocation
	limit      Amount
	seated     bool
}

// leastPerMember is how many pooled connections to a member a home has at least:
// without one it could not serve.
const leastPerMember = 1

// Run holds the share until ctx ends.
func (e *Even) Run(ctx context.Context) {
	e.apply()
	e.setSeated(true)
	e.SeatChanged(true)
	<-ctx.Done()
}

// Close gives the share up.
func (e *Even) Close(ctx context.Context) error {
	e.setSeated(false)
	e.SeatChanged(false)
	e.Connections.Set(0)
	return e.Connections.Settle(ctx)
}

// SetAllocation takes the group's limits, and divides anew.
func (e *Even) SetAllocation(a Allocation) {
	e.mu.Lock()
	e.allocation = a
	seated := e.seated
	e.mu.Unlock()
	if seated {
		e.apply()
	}
}

// apply works the share out and sets the bounds.
func (e *Even) apply() {
	e.mu.Lock()
	total, members := e.allocation.PerMember, e.allocation.Members
	e.mu.Unlock()
	perMember := max(e.Part(total)-e.Control, leastPerMember)
	next := Amount{Connections: perMember * members, Slots: perMember * members}
	e.mu.Lock()
	changed := next != e.limit
	e.limit = next
	e.mu.Unlock()
	if changed {
		e.Connections.Set(next.Connections)
		e.Each(perMember)
	}
}

// Limit returns what this instance may use, without the connections for control.
func (e *Even) Limit() Amount {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit
}

// Seated reports whether the share is held.
func (e *Even) Seated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seated
}

func (e *Even) setSeated(seated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seated = seated
}
