package admission

import (
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// grant ends a wait: it holds a slot or an error.
type grant struct {
	slot *Slot
	err  *result.Error
}

// waiter is a request that waits for a slot.
type waiter struct {
	request   Request
	class     *class
	arrivedAt time.Time
	sequence  uint64
	// late is set once the request can no longer be answered within its objective.
	late bool
	// share is the account of the workspace; nil outside the fair order.
	share *share
	// grants receives exactly one grant when the controller removes the waiter from the
	// queue.
	grants chan grant
}

// before orders waiters: those that can still meet their objective first, then by priority,
// by due time, and by arrival.
func (w *waiter) before(other *waiter) bool {
	if w.late != other.late {
		return other.late
	}
	if w.request.Priority != other.request.Priority {
		return w.request.Priority < other.request.Priority
	}
	if x, y := w.dueTime(), other.dueTime(); !x.Equal(y) {
		return x.Before(y)
	}
	return w.sequence < other.sequence
}

// dueTime returns the end of the objective, or the deadline if the request is late or its
// class has no objective.
func (w *waiter) dueTime() time.Time {
	if w.late || w.request.ObjectiveDeadline.IsZero() {
		return w.request.Deadline
	}
	return w.request.ObjectiveDeadline
}

// serviceTimeMargin is the number of average service times that must be left for a request
// to count as able to meet its objective. The queue serves requests with the least time
// left first; without a margin, an overloaded member spends its capacity on requests that
// narrowly miss their objective.
const serviceTimeMargin = 2

// missesObjective reports whether an answer that takes serviceTimeMargin times the average
// service time from now on would miss the objective.
func (w *waiter) missesObjective(now time.Time) bool {
	return !w.request.ObjectiveDeadline.IsZero() && now.Add(serviceTimeMargin*w.class.serviceTime).After(w.request.ObjectiveDeadline)
}
