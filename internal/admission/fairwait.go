package admission

import (
	"cmp"
	"slices"
	"time"
)

// competingWork is what another workspace has in the queue that may be served before a waiter.
type competingWork struct {
	// urgent is of a higher priority, equal of the same priority.
	urgent, equal time.Duration
}

// fairWorkAhead estimates the service time that is granted before w is: all of a higher
// priority, what its workspace has ahead of it, and of the same priority as much as the shares
// of the others permit until its workspace has its turn.
func (c *Controller) fairWorkAhead(w *waiter) time.Duration {
	s := c.shareOf(w)
	var own, ahead time.Duration
	others := make(map[*share]competingWork)
	for _, other := range c.queue.Items() {
		cost := other.class.cost()
		work := others[other.share]
		switch {
		case other == w || other.late && !w.late:
			continue
		case other.share == s && other.before(w):
			own += cost
			continue
		case other.share == s:
			continue
		case !other.late && w.late || other.request.Priority < w.request.Priority:
			work.urgent += cost
		case other.request.Priority == w.request.Priority:
			work.equal += cost
		}
		others[other.share] = work
	}
	turn := max(s.used, c.fairness.virtualTime) + float64(own)/s.weight
	for other, work := range others {
		permitted := serviceTimeOf(turn-other.used, other) - work.urgent
		ahead += work.urgent + min(work.equal, max(permitted, 0))
	}
	return ahead + own
}

// serviceTimeOf converts a difference of accounts to service time.
func serviceTimeOf(used float64, s *share) time.Duration {
	return time.Duration(max(used, 0) * s.weight)
}

// backlog returns the time in which the waiters of a workspace are served by its share of the
// slots, or by all that the others leave. It counts slots that the concurrency limit does not
// use now: told to come back after the time of a slow member, callers of a workspace alone
// return when the member has long recovered.
func (c *Controller) backlog(s *share) time.Duration {
	var own, all time.Duration
	for _, w := range c.queue.Items() {
		all += w.class.cost()
		if w.share == s {
			own += w.class.cost()
		}
	}
	byShare := time.Duration(float64(own) * max(c.fairness.totalWeight()/s.weight, 1))
	return min(byShare, all) / time.Duration(max(c.slots, 1))
}

// inTurnOrder returns waiters by priority, and those of one priority in the order in which
// their workspaces reach their turns.
func inTurnOrder(waiters []*waiter) []*waiter {
	used := make(map[*share]float64)
	turns := make(map[*waiter]float64, len(waiters))
	for _, w := range waiters {
		at, ok := used[w.share]
		if !ok {
			at = w.share.used
		}
		turns[w] = at
		used[w.share] = at + float64(w.class.cost())/w.share.weight
	}
	ordered := slices.Clone(waiters)
	slices.SortStableFunc(ordered, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(turns[a], turns[b]))
	})
	return ordered
}
