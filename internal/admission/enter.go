package admission

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// Acquire implements Gate.
func (c *Controller) Acquire(ctx context.Context, r Request) (*Slot, error) {
	w, err := c.admitOrEnqueue(r)
	if err != nil {
		return nil, err
	}
	select {
	case g := <-w.grants:
		return c.grantResult(g)
	default:
	}
	timer := c.cfg.Clock.NewTimer(w.request.Deadline.Sub(w.arrivedAt))
	defer timer.Stop()
	select {
	case g := <-w.grants:
		return c.grantResult(g)
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil, c.cancelWait(w, cancelCode(ctx))
}

// grantResult converts a grant to the return values of Acquire.
func (c *Controller) grantResult(g grant) (*Slot, error) {
	if g.err != nil {
		return nil, g.err
	}
	return g.slot, nil
}

// admitOrEnqueue admits the request, queues it, or refuses it immediately.
func (c *Controller) admitOrEnqueue(r Request) (*waiter, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.classState(r.Class)
	if c.draining {
		return nil, c.newRefusal(result.Draining, state, 0)
	}
	c.enableFairOrder()
	w := c.newWaiter(r, state)
	c.dispatch()
	if c.canAdmit() {
		c.admit(w)
		return w, nil
	}
	if err := c.checkMayWait(w); err != nil {
		return nil, err
	}
	c.enqueue(w)
	c.waitingGauge.Set(float64(c.queue.Len()))
	return w, nil
}

// newWaiter returns a waiter for r, with defaults for the unset fields.
func (c *Controller) newWaiter(r Request, state *class) *waiter {
	now := c.cfg.Clock.Now()
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(DefaultMaxWait)
	}
	if r.MaxQueue <= 0 {
		r.MaxQueue = DefaultMaxQueue
	}
	c.normalizeWeight(&r)
	c.arrivalCount++
	w := &waiter{request: r, class: state, arrivedAt: now, sequence: c.arrivalCount, grants: make(chan grant, 1)}
	w.late = w.missesObjective(now)
	return w
}

// checkMayWait returns an error if w must not be queued. A request that is not expected to
// finish by its deadline is refused immediately: waiting would cost its caller the time to
// try elsewhere, and a slot spent on it would be lost to a request that can still be
// answered.
func (c *Controller) checkMayWait(w *waiter) error {
	expected := c.expectedWait(w)
	if w.class.waiting >= w.request.MaxQueue && !c.mayExceedQueue(w) {
		return c.refuse(result.QueueFull, w, expected)
	}
	needed := expected + expected/waitMarginDivisor + w.class.serviceTime
	if c.slots == 0 || w.arrivedAt.Add(needed).After(w.request.Deadline) {
		return c.refuse(result.DeadlineTooShort, w, expected)
	}
	return nil
}

// expectedWait estimates the wait of w: the time until the next slot is free, plus the
// service times of all waiters ahead of w divided by the number that run in parallel.
func (c *Controller) expectedWait(w *waiter) time.Duration {
	if c.slots == 0 {
		return 0
	}
	return c.timeToFreeSlot(c.cfg.Clock.Now()) + c.workAhead(w)/time.Duration(c.parallelism())
}

// workAhead estimates the service time that is granted before w is.
func (c *Controller) workAhead(w *waiter) time.Duration {
	if c.fairOrder && c.queue.Len() > 0 {
		return c.fairWorkAhead(w)
	}
	return c.workBefore(w)
}

// workBefore estimates the service time of the waiters that are before w in the order without accounts.
func (c *Controller) workBefore(w *waiter) time.Duration {
	var ahead time.Duration
	for _, other := range c.queue.Items() {
		if !other.before(w) {
			break
		}
		ahead += other.class.serviceTime
	}
	return ahead
}

// parallelism returns how many requests may be in flight at once, at least 1. Slots kept
// after their answer do not count.
func (c *Controller) parallelism() int {
	answeredSlots := len(c.inUse) - c.inFlight
	return max(min(c.slots-answeredSlots, c.concurrency.current()), 1)
}

// timeToFreeSlot estimates the time until a slot in use becomes free.
func (c *Controller) timeToFreeSlot(now time.Time) time.Duration {
	shortest := time.Duration(-1)
	for s := range c.inUse {
		if s.answered && c.inFlight >= c.concurrency.current() {
			// The concurrency limit is reached, so releasing an answered slot admits no
			// request.
			continue
		}
		if remaining := s.remaining(now); shortest < 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return max(shortest, 0)
}

// cancelWait removes w from the queue, or releases its slot if it was granted one
// meanwhile. It returns the error for the caller, with the given code.
func (c *Controller) cancelWait(w *waiter, code result.Code) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.dequeue(w) {
		g := <-w.grants
		if g.err != nil {
			return g.err
		}
		g.slot.notExecuted = true
		c.removeSlot(g.slot)
	}
	err := c.refuse(code, w, c.expectedWait(w))
	c.dispatch()
	c.released.Notify()
	return err
}

// cancelCode returns the code of a wait that ended with ctx or at its deadline.
func cancelCode(ctx context.Context) result.Code {
	if cause, ok := result.FromCause(ctx); ok {
		return cause.Code
	}
	return result.QueueTimeout
}
