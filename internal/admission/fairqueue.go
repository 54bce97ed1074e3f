package admission

import (
	"math"
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// enableFairOrder begins the accounts of the waiting workspaces once the feature is enabled.
func (c *Controller) enableFairOrder() {
	if c.fairOrder || c.cfg.FairOrder == nil || !c.cfg.FairOrder() {
		return
	}
	c.fairOrder = true
	c.fairness.reset()
	for _, w := range c.queue.Items() {
		c.joinShare(w)
	}
}

// joinShare counts a waiter in the account of its workspace.
func (c *Controller) joinShare(w *waiter) {
	w.share = c.fairness.share(w.request.Workspace, w.request.WorkspaceWeight)
	c.fairness.addWaiter(w.share)
}

// enqueue adds a waiter to the queue.
func (c *Controller) enqueue(w *waiter) {
	if c.fairOrder {
		if c.queue.Len() == 0 {
			c.fairness.reset()
		}
		c.joinShare(w)
	}
	c.queue.Add(w)
	w.class.waiting++
}

// dequeue removes a waiter from the queue and reports whether it was there.
func (c *Controller) dequeue(w *waiter) bool {
	if !c.queue.Remove(w) {
		return false
	}
	w.class.waiting--
	if w.share != nil {
		c.fairness.removeWaiter(w.share)
	}
	return true
}

// nextFairWaiter returns the waiter to serve next in the fair order, or nil if there is none.
// Waiters that can be in time go before the late ones, then the class priority decides, then
// the account of the workspace, then the due time. Credit for the workspace that has used least
// goes before the priority, to the oldest of its waiters.
func (c *Controller) nextFairWaiter() *waiter {
	if c.queue.Len() == 0 {
		return nil
	}
	items := c.queue.Items()
	next, leastUsed := items[0], items[0]
	for _, w := range items[1:] {
		if w.late != next.late {
			break
		}
		if w.request.Priority == next.request.Priority && w.account() < next.account() {
			next = w
		}
		if w.share.used < leastUsed.share.used || w.share == leastUsed.share && w.sequence < leastUsed.sequence {
			leastUsed = w
		}
	}
	if c.fairness.spendCredit(leastUsed.class.cost()) {
		return leastUsed
	}
	return next
}

// account returns what the waiter's workspace will have used with this waiter, by which waiters
// of one priority are ordered. Statements of open transactions go first: they hold locks that others wait for.
func (w *waiter) account() float64 {
	if w.request.InTransaction {
		return math.Inf(-1)
	}
	return w.share.used + float64(w.class.cost())/w.share.weight
}

// normalizeWeight replaces an invalid weight and counts it. Zero means that none is known.
func (c *Controller) normalizeWeight(r *Request) {
	if r.WorkspaceWeight < 0 || r.WorkspaceWeight > MaxWeight {
		c.cfg.Metrics.invalidWeights.WithLabelValues(c.cfg.Group).Inc()
		c.logInvalidWeight(r)
		r.WorkspaceWeight = 0
	}
	if r.WorkspaceWeight == 0 {
		r.WorkspaceWeight = defaultWeight
	}
}

// logInvalidWeight logs the first invalid weight of this gate.
func (c *Controller) logInvalidWeight(r *Request) {
	if c.invalidWeightLogged {
		return
	}
	c.invalidWeightLogged = true
	c.log.Warn("Admission uses weight 1 for a workspace with an invalid one.", "group", c.cfg.Group, "workspace", r.Workspace, "weight", r.WorkspaceWeight)
}

// refuse returns the error for a waiter that is not served. d is the expected wait. In the fair
// order the retry-after is spread over the time that the backlog of the workspace needs.
func (c *Controller) refuse(code result.Code, w *waiter, d time.Duration) *result.Error {
	if !c.fairOrder {
		return c.newRefusal(code, w.class, d)
	}
	s := c.shareOf(w)
	c.cfg.Metrics.fairRefused.WithLabelValues(c.cfg.Group, code.Label(), shareLabel(c.fairness.isAbove(s))).Inc()
	return c.newSpreadRefusal(code, w.class, d, c.backlog(s))
}

// shareOf returns the account of a waiter, also before it waits.
func (c *Controller) shareOf(w *waiter) *share {
	if w.share != nil {
		return w.share
	}
	return c.fairness.share(w.request.Workspace, w.request.WorkspaceWeight)
}

// chargeSlot charges the account of the waiter's workspace for its slot. Without a queue there
// are no accounts.
func (c *Controller) chargeSlot(s *Slot, w *waiter) {
	if w.share == nil {
		return
	}
	s.share, s.cost = w.share, w.class.cost()
	c.fairness.charge(s.share, s.cost)
}

// observeShare records the wait of a waiter that is granted a slot.
func (c *Controller) observeShare(w *waiter) {
	if w.share == nil {
		return
	}
	waited := c.cfg.Clock.Now().Sub(w.arrivedAt)
	c.cfg.Metrics.fairWait.WithLabelValues(c.cfg.Group, shareLabel(c.fairness.isAbove(w.share))).Observe(waited.Seconds())
}

// mayExceedQueue reports whether w may wait although the queue of its class is full: its
// workspace has less than an equal part of that queue.
func (c *Controller) mayExceedQueue(w *waiter) bool {
	if !c.fairOrder {
		return false
	}
	s, own := c.shareOf(w), 0
	waiting := map[*share]bool{s: true}
	for _, other := range c.queue.Items() {
		if other.class != w.class {
			continue
		}
		waiting[other.share] = true
		if other.share == s {
			own++
		}
	}
	return own < w.request.MaxQueue/len(waiting)
}
