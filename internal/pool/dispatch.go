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
	c := coverage{openings: make(map[*memberState]int)}
	now := p.cfg.Clock.Now()
	p.waiting.TakeWhere(p.waiting.Len(), func(w *waiter) bool {
		m := p.member(w.address)
		if e := m.takeIdle(); e != nil {
			p.hand(w, e)
			return true
		}
		p.cover(m, &c, now)
		return false
	})
}

// coverage is what the waiters seen so far in one dispatch wait for.
type coverage struct {
	openings map[*memberState]int
	rooms    int
}

// cover sees to it that a waiter for m waits for something that will end.
func (p *Limited) cover(m *memberState, c *coverage, now time.Time) {
	switch {
	case c.openings[m] < m.opening:
		c.openings[m]++
	case p.memberFull(m, 0):
		// The end of a use dispatches again.
	case p.opening >= p.cfg.MaxOpening || !m.mayOpen(now):
		// The end of an opening or of the pause dispatches again.
	case p.total() < p.limit:
		p.startOpen(m)
		c.openings[m]++
	case c.rooms < p.limit-p.total()+p.closing:
		c.rooms++
	case p.makeRoom(m):
		c.rooms++
	}
}

// hand gives an idle connection to a waiter.
func (p *Limited) hand(w *waiter, e *entry) {
	p.idle--
	p.inUse++
	e.member.inUse++
	e.state = stateInUse
	w.granted <- grant{entry: e}
}

// makeRoom closes the idle connection used longest ago of the member that has
// the most of them, other than m. It reports whether there was one.
func (p *Limited) makeRoom(m *memberState) bool {
	var most *memberState
	for _, o := range p.members {
		if o == m || len(o.idle) == 0 {
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
	for _, e := range m.idle {
		p.idle--
		p.startClose(e, reason)
	}
	m.idle = nil
}

// refuseWaiters ends the wait of the first n waiters for a member.
func (p *Limited) refuseWaiters(m *memberState, n int, err *result.Error) {
	for _, w := range p.waiting.TakeWhere(n, func(w *waiter) bool { return w.address == m.address }) {
		w.granted <- grant{err: err}
	}
}
