package admission

import (
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// A burst that the slots cannot serve in time makes a queue that outlives it. Served
// in order of arrival, every waiter of that queue gets its answer a little too late,
// and so does everything that arrives until the queue is gone. A waiter that cannot be
// in time any more therefore yields to those that can, and is refused as soon as its
// deadline cannot be kept.

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
	for _, w := range c.unservable(now) {
		c.waiting.Remove(w)
		w.class.waiting--
		w.granted <- grant{err: c.refusal(result.QueueTimeout, w.class, c.backlog())}
	}
}

// unservable returns the late waiters that would not end by their deadline even if the
// turns went to late ones alone from now on, as many at once as may be at work now: slots
// that the limit keeps unused bring nobody's turn nearer, and counting them left waiters to
// be told at their deadline what was known before. Only late ones are judged again while
// they wait: others keep going before them, which their arrival could not know. A
// stricter judgement, by the share of the turns that late ones get just now, refuses
// many whose turn comes when a burst is over.
func (c *Controller) unservable(now time.Time) []*waiter {
	var all []*waiter
	var ahead time.Duration
	for _, w := range c.waiting.Items() {
		if !w.late {
			continue
		}
		turn := now.Add(ahead / time.Duration(c.servers()))
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
