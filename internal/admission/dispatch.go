package admission

import (
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// dispatch gives free slots to waiters. It runs under the lock after every
// change of the tables.
func (c *Controller) dispatch() {
	c.sortOutLate()
	for c.free() {
		w := c.next()
		if w == nil {
			break
		}
		c.waiting.Remove(w)
		w.class.waiting--
		if err := c.tooLate(w); err != nil {
			w.granted <- grant{err: err}
			continue
		}
		c.contended++
		c.admit(w)
	}
	c.running.Set(float64(len(c.inUse)))
	c.waits.Set(float64(c.waiting.Len()))
}

// free reports whether one more request may be sent: a slot is free, and not too many
// are at work at the member.
func (c *Controller) free() bool {
	return len(c.inUse) < c.slots && c.working < c.limit.requests()
}

// next returns the waiter whose turn it is, nil if there is none. The turns by the longest
// wait are for those whose priority is low. Given to late ones as well, each would cost one
// that can still be in time its answer: late ones have always waited longest.
func (c *Controller) next() *waiter {
	items := c.waiting.Items()
	if len(items) == 0 {
		return nil
	}
	if c.contended%fairEvery != fairEvery-1 {
		return items[0]
	}
	longest := items[0]
	for _, w := range items[1:] {
		if w.late == longest.late && w.arrival < longest.arrival {
			longest = w
		}
	}
	return longest
}

// tooLate returns the error for a waiter that would not end by its deadline any
// more. A slot given to it would be spent on an answer that nobody takes.
func (c *Controller) tooLate(w *waiter) *result.Error {
	if !c.cfg.Clock.Now().Add(w.class.service).After(w.request.Deadline) {
		return nil
	}
	return c.refusal(result.QueueTimeout, w.class, c.expectedWait(w))
}

// admit gives w a slot.
func (c *Controller) admit(w *waiter) {
	now := c.cfg.Clock.Now()
	s := newSlot(c, w.class, now)
	c.inUse[s] = struct{}{}
	c.working++
	w.class.admitted.Inc()
	w.class.wait.Observe(now.Sub(w.arrived).Seconds())
	w.granted <- grant{slot: s}
	c.running.Set(float64(len(c.inUse)))
}

// answered notes that the request of a slot has its answer.
func (c *Controller) answered(s *Slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(s)
	c.dispatch()
}

// refused notes that a slot's request has ended without work at the member.
func (c *Controller) refused(s *Slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.refused = true
}

// note takes in the time of an answer, once.
func (c *Controller) note(s *Slot) {
	if s.answered {
		return
	}
	s.answered = true
	if s.refused {
		c.working--
		return
	}
	took := max(c.cfg.Clock.Now().Sub(s.since), time.Microsecond)
	c.limit.observe(s.class, took, c.working)
	s.class.service = average(s.class.service, took)
	c.working--
}

// release takes back a slot.
func (c *Controller) release(s *Slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.answered {
		s.class.held = average(s.class.held, c.cfg.Clock.Now().Sub(s.since))
	}
	c.note(s)
	delete(c.inUse, s)
	c.dispatch()
	c.changed.Notify()
}
