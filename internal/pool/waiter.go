package pool

import (
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// grant is what ends a wait: a connection or an error.
type grant struct {
	entry *entry
	err   *result.Error
}

// waiter is one Acquire that waits.
type waiter struct {
	address string
	// workspace is the one that the connection is to be for.
	workspace string
	deadline  time.Time
	arrival   uint64
	// granted receives exactly one grant when the waiter leaves the queue by
	// the pool's doing.
	granted chan grant
}

// everyWaiter matches all.
func everyWaiter(*waiter) bool { return true }

// before orders waiters by deadline, then by arrival.
func (w *waiter) before(o *waiter) bool {
	if !w.deadline.Equal(o.deadline) {
		return w.deadline.Before(o.deadline)
	}
	return w.arrival < o.arrival
}
