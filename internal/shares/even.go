package shares

import (
	"context"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

// Even is a share without a ledger: an equal part of the connections that each member
// accepts, computed from the number of instances that serve the group. It fits members
// that limit their connections themselves and refuse excess connections without harm. Two
// instances may briefly disagree about how many instances serve the group; a member then
// refuses a connection and the pool waits, which costs less than a ledger that every
// instance writes.
//
// A new share starts with half of its connections. A machine that loses power closes
// none of its connections, and members keep counting them for a while. When all
// machines restart at once, full shares would not fit beside the lost connections: each
// refused connection attempt would cost the member a slot, and instances that start a
// moment later would get nothing. Half fits if the lost instances used no more than the
// other half.
type Even struct {
	Clock clock.Clock
	// Linger is how long a member counts connections whose other end has vanished. The
	// share has half its size for this time after the start, and its full size
	// afterwards; with zero it starts with the full size.
	Linger time.Duration
	// Connections is limited by the share.
	Connections Resource
	// Each is called with the number of connections that the share allows to each
	// member.
	Each func(perMember int)
	// Control is the number of connections to each member that the instance uses in
	// addition to Connections.
	Control int
	// Part returns this instance's part of a total number of connections.
	Part func(total int) int
	// SeatChanged is called with true when the share is held and with false before it
	// is released.
	SeatChanged func(held bool)

	mu sync.Mutex
	// starting is true until the share has its full size.
	starting   bool
	allocation Allocation
	limit      Amount
	held       bool
}

// minPerMember is the minimum number of pooled connections to each member: without one
// the instance could not serve requests.
const minPerMember = 1

// Run holds the share until ctx ends.
func (e *Even) Run(ctx context.Context) {
	e.setStarting(e.Linger > 0)
	e.setHeld(true)
	e.SeatChanged(true)
	if e.Linger > 0 && clock.Sleep(ctx, e.Clock, e.Linger) == nil {
		e.setStarting(false)
	}
	<-ctx.Done()
}

func (e *Even) setStarting(starting bool) {
	e.mu.Lock()
	e.starting = starting
	e.mu.Unlock()
	e.recompute()
}

// Close releases the share and waits until its connections are closed.
func (e *Even) Close(ctx context.Context) error {
	e.setHeld(false)
	e.SeatChanged(false)
	e.Connections.Set(0)
	return e.Connections.Settle(ctx)
}

// SetAllocation replaces the group's limits and recomputes a share that is held.
func (e *Even) SetAllocation(a Allocation) {
	e.mu.Lock()
	e.allocation = a
	held := e.held
	e.mu.Unlock()
	if held {
		e.recompute()
	}
}

// recompute computes the share and sets the limits.
func (e *Even) recompute() {
	e.mu.Lock()
	total, members, starting := e.allocation.PerMember, e.allocation.Members, e.starting
	e.mu.Unlock()
	perMember := e.Part(total) - e.Control
	if starting {
		perMember = (perMember + 1) / 2
	}
	perMember = max(perMember, minPerMember)
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

// Limit returns what this instance may use, without control connections.
func (e *Even) Limit() Amount {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit
}

// Seated reports whether the share is held.
func (e *Even) Seated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

func (e *Even) setHeld(held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = held
}
