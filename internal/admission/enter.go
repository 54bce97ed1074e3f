package admission

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// Enter implements Gate.
func (c *Controller) Enter(ctx context.Context, r Request) (*Slot, error) {
	w, err := c.enqueue(r)
	if err != nil {
		return nil, err
	}
	select {
	case g := <-w.granted:
		return c.answer(g)
	default:
	}
	timer := c.cfg.Clock.NewTimer(w.request.Deadline.Sub(w.arrived))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return c.answer(g)
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil, c.giveUp(w)
}

// answer turns a grant into what Enter returns.
func (c *Controller) answer(g grant) (*Slot, error) {
	if g.err != nil {
		return nil, g.err
	}
	return g.slot, nil
}

// enqueue gives w a slot, queues it, or refuses it at once.
func (c *Controller) enqueue(r Request) (*waiter, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.class(r.Class)
	if c.draining {
		return nil, c.refusal(result.Draining, k, 0)
	}
	w := c.newWaiter(r, k)
	c.dispatch()
	if c.free() {
		c.admit(w)
		return w, nil
	}
	if err := c.refuse(w); err != nil {
		return nil, err
	}
	c.waiting.Add(w)
	k.waiting++
	c.waits.Set(float64(c.waiting.Len()))
	return w, nil
}

// newWaiter fills in what the request leaves open.
func (c *Controller) newWaiter(r Request, k *class) *waiter {
	now := c.cfg.Clock.Now()
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(DefaultMaxWait)
	}
	if r.MaxQueue <= 0 {
		r.MaxQueue = DefaultMaxQueue
	}
	c.arrivals++
	w := &waiter{request: r, class: k, arrived: now, arrival: c.arrivals, granted: make(chan grant, 1)}
	w.late = w.misses(now)
	return w
}

// refuse returns the error for a request that must not wait. One whose turn is
// expected too late to end by its deadline is told so now: waiting would cost
// its caller the time to try elsewhere, and a slot spent on it would be lost to
// one that still matters.
func (c *Controller) refuse(w *waiter) error {
	expected := c.expectedWait(w)
	if w.class.waiting >= w.request.MaxQueue {
		return c.refusal(result.QueueFull, w.class, expected)
	}
	needed := expected + expected/waitMargin + w.class.service
	if c.slots == 0 || w.arrived.Add(needed).After(w.request.Deadline) {
		return c.refusal(result.DeadlineTooShort, w.class, expected)
	}
	return nil
}

// expectedWait is the time until the next slot comes free and, after that, the
// service times of all that go before w, spread over the slots.
func (c *Controller) expectedWait(w *waiter) time.Duration {
	if c.slots == 0 {
		return 0
	}
	var ahead time.Duration
	for _, o := range c.waiting.Items() {
		if !o.before(w) {
			break
		}
		ahead += o.class.service
	}
	return c.nextFree(c.cfg.Clock.Now()) + ahead/time.Duration(c.servers())
}

// servers is how many requests may be at work at once.
func (c *Controller) servers() int {
	held := len(c.inUse) - c.working
	return max(min(c.slots-held, c.limit.requests()), 1)
}

// nextFree estimates when the first slot in use comes free.
func (c *Controller) nextFree(now time.Time) time.Duration {
	first := time.Duration(-1)
	for s := range c.inUse {
		if s.answered && c.working >= c.limit.requests() {
			// Its end lets nobody in.
			continue
		}
		if left := s.remaining(now); first < 0 || left < first {
			first = left
		}
	}
	return max(first, 0)
}

// giveUp ends w's wait without a slot.
func (c *Controller) giveUp(w *waiter) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting.Remove(w) {
		g := <-w.granted
		if g.err != nil {
			return g.err
		}
		delete(c.inUse, g.slot)
	} else {
		w.class.waiting--
	}
	err := c.refusal(result.QueueTimeout, w.class, c.expectedWait(w))
	c.dispatch()
	c.changed.Notify()
	return err
}
