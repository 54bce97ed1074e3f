// Package admission decides which request may run now, which waits, and which
// is refused at once.
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
	// Write says that the request runs at the primary.
	Write bool
}

// Gate hands out the slots of one group.
type Gate interface {
	// Enter returns a function that gives the slot back, to be called once.
	// Errors are *result.Error of the did-not-run family with a retry-after.
	Enter(ctx context.Context, r Request) (release func(), err error)
}
