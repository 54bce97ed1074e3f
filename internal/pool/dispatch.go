package pool

import (
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// dispatch serves the waiters in order as far as the tables allow. It runs
// under the lock after every change of them.
//
// A waiter whose member has no idle connection is covered by an opening that
// runs, or by a closing that makes room for one. Each covers one waiter, so
// that ten waiters cause at most ten openings and one waiter only one.
func (p *Limited) dispatch() {
	defer func() { p.gauges.set(p.stats()) }()
	if p.waiting.Len() == 0 {
		return
	}
	p.waiting.TakeWhere(p.waiting.Len(), func(w *waiter) bool {
		e := p.member(w.address).takeIdle(w.workspace)
		if e != nil {
			p.hand(w, e)
		}
		return e != nil
	})
	// Room is made only now, when no idle connection has a waiter of its workspace.
	c := coverage{openings: make(map[*lane]int), replacing: make(map[*memberState]int)}
	now := p.cfg.Clock.Now()
	p.waiting.TakeWhere(p.waiting.Len(), func(w *waiter) bool {
		p.cover(w, &c, now)
		return false
	})
}

// coverage is what the waiters seen so far in one dispatch wait for.
type coverage struct {
	openings map[*lane]int
	rooms    int
	// replacing counts, by member, those that wait for room which a closing makes there.
	replacing map[*memberState]int
}

// cover sees to it that a waiter waits for something that will end.
func (p *Limited) cover(w *waiter, c *coverage, now time.Time) {
	m := p.member(w.address)
	l := m.lane(w.workspace)
	switch {
	case c.openings[l] < l.opening:
		c.openings[l]++
	case p.opening >= p.cfg.MaxOpening || !m.mayOpen(now):
		// The end of an opening or of the pause dispatches again.
	case p.memberFull(m, 0):
		p.replaceAt(m, c)
	case p.total() < p.limit:
		p.startOpen(m, w.workspace)
		c.openings[l]++
	case c.rooms < p.limit-p.total()+p.closing:
		c.rooms++
	case p.makeRoom():
		c.rooms++
	}
}

// replaceAt closes the idle connection to a full member that was used longest ago, for a
// waiter of another workspace. Where none is idle, the end of a use dispatches again.
func (p *Limited) replaceAt(m *memberState, c *coverage) {
	if c.replacing[m] < m.replacing {
		c.replacing[m]++
		return
	}
	if len(m.idle) == 0 {
		return
	}
	c.replacing[m]++
	m.replacing++
	p.idle--
	e := m.takeOldest()
	e.replaced = true
	p.startClose(e, closedReplaced)
}

// hand gives an idle connection to a waiter.
func (p *Limited) hand(w *waiter, e *entry) {
	p.idle--
	p.inUse++
	e.member.inUse++
	e.member.lane(e.workspace).inUse++
	e.state = stateInUse
	w.granted <- grant{entry: e}
}

// makeRoom closes the idle connection used longest ago of the member that has
// the most of them. It reports whether there was one.
func (p *Limited) makeRoom() bool {
	var most *memberState
	for _, o := range p.members {
		if len(o.idle) == 0 {
			continue
		}
		if most == nil || len(o.idle) > len(most.idle) ||
			len(o.idle) == len(most.idle) && o.address < most.address {
			most = o
		}
	}
	if most == nil {
		return false
	}
	p.idle--
	p.startClose(most.takeOldest(), closedMakeRoom)
	return true
}

// shrink closes idle connections until the rest fits the limit, taking in turn
// from the member that has the most.
func (p *Limited) shrink() {
	for p.total()-p.closing > p.limit && p.idle > 0 {
		var most *memberState
		for _, m := range p.members {
			if most == nil || len(m.idle) > len(most.idle) {
				most = m
			}
		}
		p.idle--
		p.startClose(most.takeOldest(), closedLimit)
	}
}

// closeIdle closes all idle connections of a member.
func (p *Limited) closeIdle(m *memberState, reason string) {
	for len(m.idle) > 0 {
		p.idle--
		p.startClose(m.takeOldest(), reason)
	}
}

// refuseWaiters ends the wait of the waiters for a member that are to be refused.
func (p *Limited) refuseWaiters(m *memberState, refuse func(*waiter) bool, err *result.Error) {
	ended := func(w *waiter) bool { return w.address == m.address && refuse(w) }
	for _, w := range p.waiting.TakeWhere(p.waiting.Len(), ended) {
		w.granted <- grant{err: err}
	}
}
