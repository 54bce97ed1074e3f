// Package admission decides which request may run now, which waits, and which
// is refused at once.
//
// Waiters that can still be answered within their class's objective go before
// those that cannot. Each of the two kinds is ordered by priority, then by the
// moment at which the answer is wanted, then by arrival. Every eighth slot given to
// a waiter goes to the one of the same kind that has waited longest, so that a low
// priority keeps a small share under any load and the others lose no more than that.
// Those that are late take the slots that nobody needs who can be in time.
//
// Lock order: Controller.mu is the only lock; nothing is called under it but
// the clock, the random source and the metrics.
package admission

import (
	"context"
	"time"
)

// Request describes who asks for a slot.
type Request struct {
	Class string
	// Priority orders waiters; 1 goes first, 9 last.
	Priority int
	// MaxQueue bounds the waiters of the class.
	MaxQueue int
	// Deadline is the caller's deadline.
	Deadline time.Time
	// WantedBy is when the class's objective for the answer is over; zero where the
	// class has none.
	WantedBy time.Time
	// Member is the address of the member that the request goes to, for gates that
	// keep slots for each.
	Member string
}

// Gate hands out the slots of one group.
type Gate interface {
	// Enter waits for a slot. Errors are *result.Error of the did-not-run family with
	// a retry-after.
	Enter(ctx context.Context, r Request) (*Slot, error)
}
