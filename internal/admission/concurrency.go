package admission

import "time"

// A member runs a few statements at once and queues the rest in order of arrival. The gate
// cannot reorder what waits in that queue by priority or due time, so late requests delay
// requests that could still meet their objective. When only the primary of a group was left
// to serve all reads, 49 connections from seven instances put a queue of 290 ms ahead of a
// 33 ms statement that callers wanted within 200 or 400 ms. The gate therefore sends only
// as many requests as keep the member busy and queues the rest itself.

const (
	// targetSlowdown is the ratio of service time to unloaded service time above which the
	// limit is lowered. At 2, as much is queued at the member as runs there: the member is
	// never idle between two statements of one instance, and its queue delays a statement
	// by at most the time of one other.
	targetSlowdown = 2.0
	// increaseBelow is the slowdown below which the limit is raised, provided it is fully
	// used.
	increaseBelow = 1.5
	// slowdownDivisor is the inverse of the weight of a new answer in the average slowdown.
	// Service times differ by a factor of two or three without any load; averaging over
	// fewer answers would mistake that for load.
	slowdownDivisor = 8
	// minDecreaseFactor bounds a single decrease. Requests sent before the previous
	// decrease are still in flight and would otherwise lower the limit again.
	minDecreaseFactor = 0.5
	// minConcurrency keeps at least one request in flight: without answers the limiter
	// could not detect that the member is fast again.
	minConcurrency = 1
)

// concurrencyLimit bounds the requests in flight at a member by comparing the service time
// with the service time of an idle member. It does no I/O.
type concurrencyLimit struct {
	adaptive bool
	// upperBound is the number of connections: each has at most one request in flight.
	upperBound int
	limit      float64
	// slowdown is the moving average of the ratio of service time to unloaded service time.
	slowdown float64
	// answersUntilDecrease is the number of answers to wait for before the limit may be
	// lowered again.
	answersUntilDecrease int
	// learning is set where the limit starts low and is not raised by the answers of a class
	// whose unloaded service time is not known. With all connections in use from the start, that
	// time would be learned from a member that is overloaded, and pass for that of an idle one.
	learning bool
}

func newConcurrencyLimit(adaptive bool, upperBound int) concurrencyLimit {
	return concurrencyLimit{adaptive: adaptive, upperBound: upperBound, limit: float64(upperBound), slowdown: 1}
}

// current returns the number of requests that may be in flight.
func (l *concurrencyLimit) current() int {
	if !l.adaptive {
		return l.upperBound
	}
	return min(max(int(l.limit), minConcurrency), l.upperBound)
}

// setUpperBound changes the upper bound. A limit that equals the old bound, or exceeds the
// new one, is set to the new bound.
func (l *concurrencyLimit) setUpperBound(upperBound int) {
	if l.limit >= float64(l.upperBound) && !l.learning || l.limit > float64(upperBound) {
		l.limit = float64(upperBound)
	}
	l.upperBound = upperBound
}

// startLow lowers a limit that has no answers yet to the lowest and learns from there.
func (l *concurrencyLimit) startLow() {
	l.learning = true
	l.limit = minConcurrency
}

// mayRaise reports whether the answers of the class may raise the limit.
func (l *concurrencyLimit) mayRaise(state *class) bool {
	return !l.learning || state.answerCount >= minAnswers
}

// recordAnswer adjusts the limit after an answer. inFlight is the number of requests in
// flight, including the answered one.
func (l *concurrencyLimit) recordAnswer(state *class, took time.Duration, inFlight int) {
	if !l.adaptive {
		return
	}
	slowdown := state.recordSlowdown(took)
	l.slowdown += (slowdown - l.slowdown) / slowdownDivisor
	l.answersUntilDecrease--
	switch {
	case l.slowdown > targetSlowdown && l.answersUntilDecrease <= 0:
		l.limit = max(l.limit*max(targetSlowdown/l.slowdown, minDecreaseFactor), minConcurrency)
		l.answersUntilDecrease = l.current()
	case l.slowdown < increaseBelow && inFlight >= l.current() && l.mayRaise(state):
		l.limit = min(l.limit+1/max(l.limit, 1), float64(l.upperBound))
	}
}
