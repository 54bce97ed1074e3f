// Package admission decides which requests run immediately, which wait, and which are
// refused.
//
// Waiters that can still be answered within the latency objective of their class are served
// before those that cannot. Each of the two groups is ordered by priority, then by the time
// at which the answer is due, then by arrival. Every eighth slot granted from the queue
// goes to the waiter of the same group that has waited longest, so that a low priority
// keeps a small share under any load and the others lose no more than that share. Waiters
// that cannot meet their objective any more (late waiters) get only the slots that the
// others do not need.
//
// Lock order: Controller.mu is the only lock. Only the clock, the random source and the
// metrics are called while it is held.
package admission

import (
	"context"
	"time"
)

// Request describes a request for a slot.
type Request struct {
	Class string
	// Priority orders waiters; 1 is the highest, 9 the lowest.
	Priority int
	// MaxQueue bounds the number of waiters of the class.
	MaxQueue int
	// Deadline is the caller's deadline.
	Deadline time.Time
	// ObjectiveDeadline is the time by which the class's objective requires the answer; zero if the
	// class has no objective.
	ObjectiveDeadline time.Time
	// Member is the address of the member that the request is for. Gates with separate
	// slots for each member use it.
	Member string
}

// Gate grants the slots of one group.
type Gate interface {
	// Acquire waits for a slot. Errors are *result.Error of the did-not-run family and carry
	// a retry-after.
	Acquire(ctx context.Context, r Request) (*Slot, error)
}
