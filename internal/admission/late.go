package admission

import (
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// A burst that the slots cannot serve in time makes a queue that outlives it. Served
// in order of arrival, every waiter of that queue gets its answer a little too late,
// and so does everything that arrives until the queue is gone. A waiter that cannot be
// in time any more therefore yields to those that can. It keeps the turns that go to
// the longest wait, and is refused as soon as its deadline cannot be kept.

// sortOutLate puts those that have become late behind the others, and refuses late
// ones whose turn would come too late. It runs under the lock.
func (c *Controller) sortOutLate() {
	if c.waiting.Len() == 0 {
		return
	}
	now := c.cfg.Clock.Now()
	for _, w := range slices.Clone(c.waiting.Items()) {
		if !w.late && w.misses(now) {
			c.waiting.Remove(w)
			w.late = true
			c.waiting.Add(w)
		}
	}
	for _, w := range c.hopeless(now) {
		c.waiting.Remove(w)
		w.class.waiting--
		w.granted <- grant{err: c.refusal(result.QueueTimeout, w.class, c.backlog())}
	}
}

// hopeless returns the late waiters that would not end by their deadline even if the
// slots went to late ones alone from now on. Only late ones are judged again while
// they wait: others keep going before them, which their arrival could not know. A
// stricter judgement, by the share of the slots that late ones get just now, refused
// many whose turn came when the burst was over.
func (c *Controller) hopeless(now time.Time) []*waiter {
	var all []*waiter
	var ahead time.Duration
	for _, w := range c.waiting.Items() {
		if !w.late {
			continue
		}
		turn := now.Add(ahead / time.Duration(max(c.slots, 1)))
		if turn.Add(w.class.service).After(w.request.Deadline) {
			all = append(all, w)
			continue
		}
		ahead += w.class.service
	}
	return all
}

// backlog is the time that the slots need for all that waits.
func (c *Controller) backlog() time.Duration {
	if c.slots == 0 {
		return 0
	}
	var sum time.Duration
	for _, w := range c.waiting.Items() {
		sum += w.class.service
	}
	return sum / time.Duration(c.slots)
}
