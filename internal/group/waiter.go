package group

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/result"
)

// waiter is a Confirm, Barrier, FetchFloor or Verification in progress.
type waiter struct {
	ticket Ticket
	// hasMark is false for a barrier or a floor until the primary has reported its
	// position.
	hasMark bool
	mark    logpos.TermPosition
	// holders has one bit for each member known to hold the mark, by index.
	holders uint64
	// isCommit is set if the mark is that of a commit, which no other primary can produce: a
	// log that holds it proves it regardless of when the report was requested.
	isCommit bool
	// isFloor is set for a FetchFloor, which the reports of a majority may complete as well.
	// reported is the highest mark that each member has reported since the wait began,
	// keyed by the member's bit.
	isFloor  bool
	reported map[uint64]logpos.TermPosition
	// done is closed at the end, after err was set.
	done chan struct{}
	err  error
}

// addWaiter adds a waiter that counts reports requested from now on.
func (w *Watcher) addWaiter(mark logpos.TermPosition, hasMark bool) *waiter {
	wt := &waiter{ticket: w.newTicket(), mark: mark, hasMark: hasMark, done: make(chan struct{})}
	w.waiters[wt] = struct{}{}
	for _, p := range w.pollers {
		p.wake()
	}
	return wt
}

// removeWaiter removes a waiter whose caller has stopped waiting.
func (w *Watcher) removeWaiter(wt *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiters, wt)
}

// completeWaiter ends a waiter with its result.
func (w *Watcher) completeWaiter(wt *waiter, err error) {
	delete(w.waiters, wt)
	wt.err = err
	close(wt.done)
}

// awaitWaiter waits for wt to end. The second result is false if ctx ended first.
func (w *Watcher) awaitWaiter(ctx context.Context, wt *waiter) (error, bool) {
	select {
	case <-wt.done:
		return wt.err, true
	case <-ctx.Done():
		w.removeWaiter(wt)
		return nil, false
	}
}

// countReport counts a report for every waiter that existed before it was requested.
func (w *Watcher) countReport(p *poller, t Ticket, s member.Status) {
	for wt := range w.waiters {
		if !t.After(wt.ticket) {
			continue
		}
		w.setMarkFromPrimary(wt, s)
		if wt.hasMark && attached(s, wt.mark.Term) && s.LastRecord.Position >= wt.mark.Position {
			wt.holders |= p.bit()
		}
		if wt.hasMark && w.confirmedBy(wt.holders) {
			w.completeWaiter(wt, nil)
		}
		if wt.isFloor && !wt.ended() {
			w.countFloorReport(wt, p, s.LastRecord)
		}
	}
}

// ended reports whether the waiter has its result.
func (wt *waiter) ended() bool {
	select {
	case <-wt.done:
		return true
	default:
		return false
	}
}

// countLogPosition counts a replica's log position for every waiter whose commit the log
// holds.
func (w *Watcher) countLogPosition(p *poller, log logpos.TermPosition) {
	for wt := range w.waiters {
		if !wt.isCommit || wt.mark.Term != log.Term || wt.mark.Position > log.Position {
			continue
		}
		wt.holders |= p.bit()
		if w.confirmedBy(wt.holders) {
			w.completeWaiter(wt, nil)
		}
	}
}

// wantedSince returns the start of the oldest wait for a mark that the member is not yet
// known to hold; now if there is none.
func (w *Watcher) wantedSince(p *poller) time.Time {
	since := w.clock.Now()
	for wt := range w.waiters {
		if wt.hasMark && wt.holders&p.bit() == 0 && wt.ticket.at.Before(since) {
			since = wt.ticket.at
		}
	}
	return since
}

// setMarkFromPrimary sets the mark of a barrier or a floor from a report of the primary.
func (w *Watcher) setMarkFromPrimary(wt *waiter, s member.Status) {
	if wt.hasMark || s.Role != member.RolePrimary || s.EnteredTerm != w.term {
		return
	}
	wt.hasMark = true
	wt.mark = logpos.TermPosition{Term: s.EnteredTerm, Position: s.LastRecord.Position}
	for _, p := range w.pollers {
		p.wake()
	}
}

// failOlderTerms fails every waiter whose mark is of a term below the given one. A waiter
// for a floor continues without its mark, since reports of a majority can still end it.
func (w *Watcher) failOlderTerms(term logpos.Term) {
	for wt := range w.waiters {
		switch {
		case !wt.hasMark || wt.mark.Term >= term:
		case wt.isFloor:
			wt.hasMark, wt.mark, wt.holders = false, logpos.TermPosition{}, 0
		default:
			w.completeWaiter(wt, result.New(result.PrimaryReplaced, "term %d was replaced by %d", wt.mark.Term, term))
		}
	}
}

// wantedPosition returns the lowest position that a waiter needs the member to hold.
func (w *Watcher) wantedPosition(p *poller) (logpos.Position, bool) {
	var lowest logpos.Position
	found := false
	for wt := range w.waiters {
		if !wt.hasMark || wt.holders&p.bit() != 0 {
			continue
		}
		if !found || wt.mark.Position < lowest {
			lowest, found = wt.mark.Position, true
		}
	}
	return lowest, found
}

// primaryMarkNeeded reports whether a barrier or a floor is waiting for the primary's
// position.
func (w *Watcher) primaryMarkNeeded() bool {
	for wt := range w.waiters {
		if !wt.hasMark {
			return true
		}
	}
	return false
}
