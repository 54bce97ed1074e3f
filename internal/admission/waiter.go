package admission

import (
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// grant is what ends a wait: a slot or an error.
type grant struct {
	slot *Slot
	err  *result.Error
}

// waiter is one request that waits for a slot.
type waiter struct {
	request Request
	class   *class
	arrived time.Time
	arrival uint64
	// late says that the answer would come after the moment at which it was wanted.
	late bool
	// granted receives exactly one grant when the waiter leaves the queue by
	// the controller's doing.
	granted chan grant
}

// before orders waiters: what can still be in time first, then by priority, by the
// moment at which the answer is wanted, and by arrival.
func (w *waiter) before(o *waiter) bool {
	if w.late != o.late {
		return o.late
	}
	if w.request.Priority != o.request.Priority {
		return w.request.Priority < o.request.Priority
	}
	if x, y := w.wanted(), o.wanted(); !x.Equal(y) {
		return x.Before(y)
	}
	return w.arrival < o.arrival
}

// wanted is when the answer is wanted, or when it has to be there at the latest.
func (w *waiter) wanted() time.Time {
	if w.late || w.request.WantedBy.IsZero() {
		return w.request.Deadline
	}
	return w.request.WantedBy
}

// answerMargin is how many times its usual time an answer must have left to count as
// one that can be in time. The first in order are those with the least time left; with
// no margin an overloaded member spends itself on those that just miss.
const answerMargin = 2

// misses reports whether an answer that takes somewhat more than the usual time from now
// on comes after the moment at which it was wanted.
func (w *waiter) misses(now time.Time) bool {
	return !w.request.WantedBy.IsZero() && now.Add(answerMargin*w.class.service).After(w.request.WantedBy)
}
