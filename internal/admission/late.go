package admission

import (
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// When a burst exceeds what the slots can serve in time, its queue outlives it. If requests
// were served in order of arrival, every waiter in that queue would be answered slightly
// late, and so would every request that arrives before the queue is empty. Waiters that can
// no longer meet their objective therefore yield to those that can, and are refused as soon
// as they cannot meet their deadline.

// updateLateWaiters moves waiters that have become late behind the others, and refuses late
// ones that cannot finish by their deadline. It is called with the lock held.
func (c *Controller) updateLateWaiters() {
	if c.queue.Len() == 0 {
		return
	}
	now := c.cfg.Clock.Now()
	for _, w := range slices.Clone(c.queue.Items()) {
		if !w.late && w.missesObjective(now) {
			c.queue.Remove(w)
			w.late = true
			c.queue.Add(w)
		}
	}
	for _, w := range c.unservableWaiters(now) {
		c.dequeue(w)
		w.grants <- grant{err: c.refuse(result.QueueTimeout, w, c.timeOfQueue(w))}
	}
}

// unservableWaiters returns the late waiters that could not finish by their deadline even
// if all slots went to late waiters from now on.
//
// The estimate uses the number of requests that may be in flight now, not the number of
// slots: slots that the concurrency limit leaves unused do not serve waiters sooner.
// Counting them delayed the refusal of waiters until their deadline although the outcome
// was known earlier. Only late waiters are checked again while they wait, because requests
// that arrive after them are served first, which the check on their arrival could not
// foresee. A stricter estimate, based on the share of slots that late waiters get at the
// moment, would refuse many that can be served once a burst is over.
func (c *Controller) unservableWaiters(now time.Time) []*waiter {
	var all []*waiter
	var ahead time.Duration
	for _, w := range c.lateWaiters() {
		start := now.Add(ahead / time.Duration(c.parallelism()))
		if start.Add(w.class.serviceTime).After(w.request.Deadline) {
			all = append(all, w)
			continue
		}
		ahead += w.class.serviceTime
	}
	return all
}

// lateWaiters returns the late waiters in the order in which they are served.
func (c *Controller) lateWaiters() []*waiter {
	items := c.queue.Items()
	first, _ := slices.BinarySearchFunc(items, true, func(w *waiter, _ bool) int {
		if w.late {
			return 0
		}
		return -1
	})
	if c.fairOrder {
		return inTurnOrder(items[first:])
	}
	return items[first:]
}

// timeOfQueue returns the time after which a late waiter that is refused may try again.
func (c *Controller) timeOfQueue(w *waiter) time.Duration {
	if c.fairOrder {
		return c.backlog(w.share)
	}
	return c.queuedWork()
}

// queuedWork returns the time that the slots need to serve the whole queue.
func (c *Controller) queuedWork() time.Duration {
	if c.slots == 0 {
		return 0
	}
	var sum time.Duration
	for _, w := range c.queue.Items() {
		sum += w.class.serviceTime
	}
	return sum / time.Duration(c.slots)
}
