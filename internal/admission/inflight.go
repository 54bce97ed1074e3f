package admission

import "time"

// A member runs a few statements at once and queues the rest in the order in which they
// came. What waits there is out of reach: it cannot be ordered by what it is for, and
// whoever is late holds up whoever could be in time. With the primary of a group left to
// serve all reads, 49 connections of seven instances put 290 ms of queue before a
// statement of 33 ms that callers wanted in 200 or 400. So only as much is sent as keeps
// the member busy; the rest waits here.

const (
	// stretchWanted is how many times its unloaded time an answer may take: a member
	// with as much in its queue as at work is never idle between two statements of
	// one instance, and its queue costs no more than one more statement.
	stretchWanted = 2.0
	// stretchRoom is below which the limit is raised when it is used up.
	stretchRoom = 1.5
	// stretchWeight is the weight of one more answer in the moving stretch, as a
	// divisor: work differs by its own factor of two or three, so that fewer answers
	// would be read as load.
	stretchWeight = 8
	// leastFactor bounds one step down. Answers that left before the last step are
	// still under way, and would else be counted against the limit again.
	leastFactor = 0.5
	// leastInFlight keeps the member heard: with none at work nothing would show
	// that it is quick again.
	leastInFlight = 1
)

// inFlight bounds the requests at work at a member by how long its answers take against
// how long they take when it is idle. It does no I/O.
type inFlight struct {
	adaptive bool
	// most is the upper bound: one request a connection.
	most  int
	limit float64
	// stretch is the moving average of answers' times over their unloaded times.
	stretch float64
	// left is how many answers come before the limit may be lowered again.
	left int
}

func newInFlight(adaptive bool, most int) inFlight {
	return inFlight{adaptive: adaptive, most: most, limit: float64(most), stretch: 1}
}

// requests is how many requests may be at work.
func (f *inFlight) requests() int {
	if !f.adaptive {
		return f.most
	}
	return min(max(int(f.limit), leastInFlight), f.most)
}

// setMost changes the upper bound. A limit at the bound goes with it.
func (f *inFlight) setMost(most int) {
	if f.limit >= float64(f.most) || f.limit > float64(most) {
		f.limit = float64(most)
	}
	f.most = most
}

// observe takes in that an answer of a class took some time with so many requests at
// work, itself included.
func (f *inFlight) observe(k *class, took time.Duration, working int) {
	if !f.adaptive {
		return
	}
	stretch := k.stretchOf(took)
	f.stretch += (stretch - f.stretch) / stretchWeight
	f.left--
	switch {
	case f.stretch > stretchWanted && f.left <= 0:
		f.limit = max(f.limit*max(stretchWanted/f.stretch, leastFactor), leastInFlight)
		f.left = f.requests()
	case f.stretch < stretchRoom && working >= f.requests():
		f.limit = min(f.limit+1/max(f.limit, 1), float64(f.most))
	}
}
