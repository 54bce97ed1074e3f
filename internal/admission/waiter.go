package admission

import (
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// grant is what ends a wait: a slot or an error.
type grant struct {
	slot *slot
	err  *result.Error
}

// waiter is one request that waits for a slot.
type waiter struct {
	request Request
	class   *class
	arrived time.Time
	arrival uint64
	// granted receives exactly one grant when the waiter leaves the queue by
	// the controller's doing.
	granted chan grant
}

// before orders waiters by priority, then by deadline, then by arrival.
func (w *waiter) before(o *waiter) bool {
	if w.request.Priority != o.request.Priority {
		return w.request.Priority < o.request.Priority
	}
	if !w.request.Deadline.Equal(o.request.Deadline) {
		return w.request.Deadline.Before(o.request.Deadline)
	}
	return w.arrival < o.arrival
}

// urgent reports whether the request may take the last slots.
func (w *waiter) urgent() bool { return w.request.Priority <= UrgentPriority }
