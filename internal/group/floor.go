package group

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// floorPoll is the minimum time between two reports of a member while callers wait for a
// floor: a few round trips between failure domains. All waiting callers share the reports.
const floorPoll = 20 * time.Millisecond

// A floor is a mark that covers every acknowledged write. An acknowledged write is on a
// majority, so any majority of members that report after a read began includes a member
// whose log holds it. The mark with the highest reported position and the highest reported
// term is at or past every acknowledged write: positions continue through a change of the
// primary, and the log of a later term begins with everything acknowledged in earlier
// terms. A floor needs no primary and no fenced member, since writes acknowledged after
// the read began do not have to be covered.
//
// Term and position are maximized separately. A replica that has just learned of a new
// primary may report the new term with a position behind what was acknowledged in the old
// term; compared as a whole, that mark would be the highest.
//
// Floors keep reads available without a primary: otherwise a group that lost its primary
// refuses reads until another one is promoted, although two of three members are
// reachable.

// FetchFloor implements Tracker. Its errors belong to the did-not-run family.
func (w *Watcher) FetchFloor(ctx context.Context) (logpos.TermPosition, error) {
	start := w.clock.Now()
	mark, err := w.awaitMark(ctx, w.startFloor())
	w.metrics.floor.WithLabelValues(w.group, outcome(err)).Observe(w.secondsSince(start))
	return mark, err
}

func (w *Watcher) startFloor() *waiter {
	w.mu.Lock()
	defer w.mu.Unlock()
	wt := w.addWaiter(logpos.TermPosition{}, false)
	wt.isFloor, wt.reported = true, make(map[uint64]logpos.TermPosition)
	return wt
}

// countFloorReport counts a member's report for a waiter for a floor.
func (w *Watcher) countFloorReport(wt *waiter, p *poller, reported logpos.TermPosition) {
	wt.reported[p.bit()] = combineHighest(wt.reported[p.bit()], reported)
	w.completeFloor(wt)
}

// combineHighest returns the higher term and the higher position of two marks.
func combineHighest(a, b logpos.TermPosition) logpos.TermPosition {
	return logpos.TermPosition{Term: max(a.Term, b.Term), Position: max(a.Position, b.Position)}
}

// completeFloor ends a waiter for a floor once enough members have reported.
func (w *Watcher) completeFloor(wt *waiter) {
	if !w.majorityFloorAllowed() {
		return
	}
	mark, ok := w.provenFloor(wt)
	if !ok {
		return
	}
	wt.mark = mark
	w.lastFloor = sample{ticket: wt.ticket, mark: mark}
	w.completeWaiter(wt, nil)
}

// provenFloor returns the floor that the reports prove. If the replicas alone are a quorum,
// the primary's report is ignored: its log may extend past everything acknowledged, to a
// position that no replica has.
func (w *Watcher) provenFloor(wt *waiter) (logpos.TermPosition, bool) {
	primary := w.primaryBit()
	if mark, ok := w.highestReported(wt, func(bit uint64) bool { return bit != primary }); ok {
		return mark, true
	}
	return w.highestReported(wt, func(uint64) bool { return true })
}

// highestReported returns the highest combination of the included members' reports, and
// whether those members are a quorum.
func (w *Watcher) highestReported(wt *waiter, include func(bit uint64) bool) (logpos.TermPosition, bool) {
	var mark logpos.TermPosition
	var set uint64
	for bit, reported := range wt.reported {
		if include(bit) {
			mark = combineHighest(mark, reported)
			set |= bit
		}
	}
	return mark, w.isQuorum(set)
}

// majorityFloorAllowed reports whether a floor may be taken from the reports of a
// majority. While the primary answers and replicas make progress, the primary's confirmed
// position is used instead: it is lower, so more replicas hold it.
func (w *Watcher) majorityFloorAllowed() bool {
	return w.writesImpossible() || !w.stalledSince().IsZero()
}

// primaryBit identifies the primary in bit sets; zero if the primary is unknown.
func (w *Watcher) primaryBit() uint64 {
	if p := w.findPoller(w.primary); p != nil {
		return p.bit()
	}
	return 0
}

// floorNeedsReport reports whether a waiter for a floor needs a report of this member.
func (w *Watcher) floorNeedsReport(p *poller) bool {
	for wt := range w.waiters {
		if _, done := wt.reported[p.bit()]; wt.isFloor && !done {
			return w.majorityFloorAllowed()
		}
	}
	return false
}
