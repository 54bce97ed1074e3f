package pool

import (
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// grant ends a wait with a connection or an error.
type grant struct {
	conn *pooledConn
	err  *result.Error
}

// waiter is a pending call of Acquire.
type waiter struct {
	address string
	// workspace is the one that needs the connection.
	workspace string
	deadline  time.Time
	arrival   uint64
	// granted receives exactly one grant when the pool removes the waiter from the queue.
	granted chan grant
}

// everyWaiter matches all waiters.
func everyWaiter(*waiter) bool { return true }

// before orders waiters by deadline, then by arrival.
func (w *waiter) before(o *waiter) bool {
	if !w.deadline.Equal(o.deadline) {
		return w.deadline.Before(o.deadline)
	}
	return w.arrival < o.arrival
}
