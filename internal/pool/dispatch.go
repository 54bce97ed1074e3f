package pool

import (
	"time"

	"github.com/topazrock/topazrock/internal/result"
)

// dispatch grants idle connections to the waiters in order, and starts openings and
// closings for the others as far as the limits allow. It runs with p.mu held, after every
// change of the pool's state.
//
// A waiter for whom there is no idle connection is assigned to an opening in progress, or
// to a closing that frees capacity for one. Each opening or closing is assigned to only
// one waiter, so ten waiters cause at most ten openings, and one waiter only one.
func (p *Limited) dispatch() {
	defer func() { p.gauges.set(p.stats()) }()
	if p.waiters.Len() == 0 {
		return
	}
	p.waiters.TakeWhere(p.waiters.Len(), func(w *waiter) bool {
		pc := p.member(w.address).popIdle(w.workspace)
		if pc != nil {
			p.grantConn(w, pc)
		}
		return pc != nil
	})
	// Idle connections are closed for other waiters only after every waiter that can use
	// one of them has been served.
	assigned := assignments{openings: make(map[*workspaceCounts]int), replacing: make(map[*memberState]int)}
	now := p.cfg.Clock.Now()
	p.waiters.TakeWhere(p.waiters.Len(), func(w *waiter) bool {
		p.assignWork(w, &assigned, now)
		return false
	})
}

// assignments counts the openings and closings that are assigned to waiters in one run of
// dispatch.
type assignments struct {
	openings map[*workspaceCounts]int
	closings int
	// replacing counts, by member, the waiters assigned to a closing that frees capacity at
	// that member.
	replacing map[*memberState]int
}

// assignWork assigns w to an opening or closing in progress, or starts one for it.
// Otherwise w waits for an event that dispatches again.
func (p *Limited) assignWork(w *waiter, assigned *assignments, now time.Time) {
	m := p.member(w.address)
	counts := m.countsFor(w.workspace)
	switch {
	case assigned.openings[counts] < counts.opening:
		assigned.openings[counts]++
	case p.opening >= p.cfg.MaxConcurrentOpenings || !m.mayOpen(now):
		// The end of an opening or of the backoff dispatches again.
	case p.memberAtLimit(m, 0):
		p.replaceIdle(m, assigned)
	case p.total() < p.limit:
		p.startOpen(m, w.workspace)
		assigned.openings[counts]++
	case assigned.closings < p.limit-p.total()+p.closing:
		assigned.closings++
	case p.evictIdle():
		assigned.closings++
	}
}

// replaceIdle closes an idle connection of a full member, for a waiter of another workspace. If
// none is idle, the next release of a connection dispatches again.
func (p *Limited) replaceIdle(m *memberState, assigned *assignments) {
	if assigned.replacing[m] < m.replacing {
		assigned.replacing[m]++
		return
	}
	if len(m.idle) == 0 {
		return
	}
	assigned.replacing[m]++
	m.replacing++
	p.idle--
	pc := p.popReplaceable(m)
	p.costs.recordEviction(p.cfg.Clock.Now(), pc.idleSince)
	pc.replaced = true
	p.startClose(pc, closedForWorkspace)
}

// popReplaceable removes and returns the idle connection to close for another workspace.
func (p *Limited) popReplaceable(m *memberState) *pooledConn {
	if p.cfg.KeepFrequentlyUsed != nil && p.cfg.KeepFrequentlyUsed() {
		return m.popLeastNeeded(p.cfg.Clock.Now())
	}
	return m.popOldestIdle()
}

// grantConn hands an idle connection to a waiter.
func (p *Limited) grantConn(w *waiter, pc *pooledConn) {
	p.idle--
	p.inUse++
	pc.member.inUse++
	pc.member.countsFor(pc.workspace).inUse++
	pc.state = stateInUse
	pc.member.recordUse(pc.workspace, p.cfg.Clock.Now())
	w.granted <- grant{conn: pc}
}

// evictIdle closes the least recently used idle connection of the member that has the most
// idle ones. It reports whether there was one.
func (p *Limited) evictIdle() bool {
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
	pc := most.popOldestIdle()
	p.costs.recordEviction(p.cfg.Clock.Now(), pc.idleSince)
	p.startClose(pc, closedForMember)
	return true
}

// closeIdleOverLimit closes idle connections until the limit is met or none is idle. Each
// time it takes one from the member that has the most idle connections at that point.
func (p *Limited) closeIdleOverLimit() {
	for p.total()-p.closing > p.limit && p.idle > 0 {
		var most *memberState
		for _, m := range p.members {
			if most == nil || len(m.idle) > len(most.idle) {
				most = m
			}
		}
		p.idle--
		p.startClose(most.popOldestIdle(), closedLimit)
	}
}

// closeIdle closes all idle connections of a member, for any workspace.
func (p *Limited) closeIdle(m *memberState, reason string) {
	for len(m.idle) > 0 {
		p.idle--
		p.startClose(m.popOldestIdle(), reason)
	}
}

// refuseWaiters fails the waiters for the member that match refuse with err.
func (p *Limited) refuseWaiters(m *memberState, refuse func(*waiter) bool, err *result.Error) {
	matches := func(w *waiter) bool { return w.address == m.address && refuse(w) }
	for _, w := range p.waiters.TakeWhere(p.waiters.Len(), matches) {
		w.granted <- grant{err: err}
	}
}
