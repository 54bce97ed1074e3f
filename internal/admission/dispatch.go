package admission

import (
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// dispatch grants free slots to waiters. It is called with the lock held after every change
// to the slots or the queue.
func (c *Controller) dispatch() {
	c.updateLateWaiters()
	for c.canAdmit() {
		w := c.nextWaiter()
		if w == nil {
			break
		}
		c.dequeue(w)
		if err := c.checkDeadline(w); err != nil {
			w.grants <- grant{err: err}
			continue
		}
		c.queuedGrants++
		c.observeShare(w)
		c.admit(w)
	}
	c.runningGauge.Set(float64(len(c.inUse)))
	c.waitingGauge.Set(float64(c.queue.Len()))
}

// canAdmit reports whether another request may be sent: a slot is free, and the number of
// requests in flight at the member is below its limit.
func (c *Controller) canAdmit() bool {
	return len(c.inUse) < c.slots && c.inFlight < c.concurrency.current()
}

// nextWaiter returns the waiter to serve next, or nil if there is none. Every
// longestWaitInterval-th grant goes to the waiter that has waited longest, so that low
// priorities are served too. Late waiters get none of these grants while another waiter can
// still meet its objective: they have always waited longest, and each such grant would make
// the other waiter late.
func (c *Controller) nextWaiter() *waiter {
	if c.fairOrder {
		return c.nextFairWaiter()
	}
	items := c.queue.Items()
	if len(items) == 0 {
		return nil
	}
	if c.queuedGrants%longestWaitInterval != longestWaitInterval-1 {
		return items[0]
	}
	longest := items[0]
	for _, w := range items[1:] {
		if w.late == longest.late && w.sequence < longest.sequence {
			longest = w
		}
	}
	return longest
}

// checkDeadline returns an error if w can no longer finish by its deadline. A slot granted
// to it would be spent on an answer that the caller no longer waits for.
func (c *Controller) checkDeadline(w *waiter) *result.Error {
	if !c.cfg.Clock.Now().Add(w.class.serviceTime).After(w.request.Deadline) {
		return nil
	}
	return c.refuse(result.QueueTimeout, w, c.expectedWait(w))
}

// admit grants w a slot.
func (c *Controller) admit(w *waiter) {
	now := c.cfg.Clock.Now()
	s := newSlot(c, w.class, now)
	c.chargeSlot(s, w)
	c.inUse[s] = struct{}{}
	c.addInFlight(1)
	w.class.admitted.Inc()
	w.class.waitTime.Observe(now.Sub(w.arrivedAt).Seconds())
	w.grants <- grant{slot: s}
	c.runningGauge.Set(float64(len(c.inUse)))
}

// markAnswered records that the request of a slot has been answered.
func (c *Controller) markAnswered(s *Slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordAnswer(s)
	c.dispatch()
}

// markRefused records that the request of a slot caused no work at the member.
func (c *Controller) markRefused(s *Slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.notExecuted = true
}

// recordAnswer stops counting a slot's request as in flight and records its service time,
// unless the member did not execute it. Only the first call for a slot has an effect.
func (c *Controller) recordAnswer(s *Slot) {
	if s.answered {
		return
	}
	s.answered = true
	if s.notExecuted {
		c.addInFlight(-1)
		return
	}
	took := max(c.cfg.Clock.Now().Sub(s.admittedAt), time.Microsecond)
	c.concurrency.recordAnswer(s.class, took, c.inFlight)
	s.class.serviceTime = movingAverage(s.class.serviceTime, took)
	c.addInFlight(-1)
}

// addInFlight changes the number of requests in flight.
func (c *Controller) addInFlight(n int) {
	c.inFlight += n
	c.inFlightGauge.Add(float64(n))
}

// releaseSlot frees a slot.
func (c *Controller) releaseSlot(s *Slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.answered {
		s.class.holdTime = movingAverage(s.class.holdTime, c.cfg.Clock.Now().Sub(s.admittedAt))
	}
	c.removeSlot(s)
	c.dispatch()
	c.released.Notify()
}

// removeSlot stops counting a slot, and its request if that is still in flight. Every slot
// ends here: one that went on counting as in flight would lower the limit of its gate for
// good, and a gate of one slot would admit nothing more.
func (c *Controller) removeSlot(s *Slot) {
	c.recordAnswer(s)
	delete(c.inUse, s)
	s.refundUnused()
}
