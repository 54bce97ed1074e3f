package group

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/result"
)

// waiter is a Confirm, Barrier, Floor or Verification in progress.
type waiter struct {
	ticket Ticket
	// hasMark is false for a barrier until the primary has reported its position.
	hasMark bool
	mark    logpos.Mark
	// holders has one bit for each member that counts, by index.
	holders uint64
	// commit is set if the mark is that of a commit, which no other primary can produce: a
	// log that holds it proves it regardless of when the report was requested.
	commit bool
	// floor is set if reports of a majority also end the wait; reported is the highest
	// mark that each member has reported since the wait began, keyed by the member's bit.
	floor    bool
	reported map[uint64]logpos.Mark
	// done is closed at the end, after err was set.
	done chan struct{}
	err  error
}

// addWaiter adds a waiter that counts reports requested from now on.
func (w *Watcher) addWaiter(mark logpos.Mark, hasMark bool) *waiter {
	x := &waiter{ticket: w.newTicket(), mark: mark, hasMark: hasMark, done: make(chan struct{})}
	w.waiters[x] = struct{}{}
	for _, p := range w.pollers {
		p.wake()
	}
	return x
}

// removeWaiter removes a waiter whose caller has stopped waiting.
func (w *Watcher) removeWaiter(x *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiters, x)
}

// completeWaiter ends a waiter with its result.
func (w *Watcher) completeWaiter(x *waiter, err error) {
	delete(w.waiters, x)
	x.err = err
	close(x.done)
}

// awaitWaiter waits for x to end. The second result is false if ctx ended first.
func (w *Watcher) awaitWaiter(ctx context.Context, x *waiter) (error, bool) {
	select {
	case <-x.done:
		return x.err, true
	case <-ctx.Done():
		w.removeWaiter(x)
		return nil, false
	}
}

// countStatus counts a report for every waiter that existed before it was requested.
func (w *Watcher) countStatus(p *poller, t Ticket, s member.Status) {
	for x := range w.waiters {
		if !t.After(x.ticket) {
			continue
		}
		w.setBarrierMark(x, s)
		if x.hasMark && attached(s, x.mark.Term) && s.Last.Position >= x.mark.Position {
			x.holders |= p.bit()
		}
		if x.hasMark && w.confirmedBy(x.holders) {
			w.completeWaiter(x, nil)
		}
		if x.floor && !x.ended() {
			w.countFloorReport(x, p, s.Last)
		}
	}
}

// ended reports whether the waiter has its result.
func (x *waiter) ended() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}

// countLogPosition counts a replica's log position for every waiter whose commit the log
// holds.
func (w *Watcher) countLogPosition(p *poller, log logpos.Mark) {
	for x := range w.waiters {
		if !x.commit || x.mark.Term != log.Term || x.mark.Position > log.Position {
			continue
		}
		x.holders |= p.bit()
		if w.confirmedBy(x.holders) {
			w.completeWaiter(x, nil)
		}
	}
}

// wantedSince returns the start of the oldest wait that the member's position has not yet
// satisfied; now if there is none.
func (w *Watcher) wantedSince(p *poller) time.Time {
	since := w.clock.Now()
	for x := range w.waiters {
		if x.hasMark && x.holders&p.bit() == 0 && x.ticket.at.Before(since) {
			since = x.ticket.at
		}
	}
	return since
}

// setBarrierMark sets a barrier's mark from a report of the primary.
func (w *Watcher) setBarrierMark(x *waiter, s member.Status) {
	if x.hasMark || s.Role != member.RolePrimary || s.Entered != w.term {
		return
	}
	x.hasMark = true
	x.mark = logpos.Mark{Term: s.Entered, Position: s.Last.Position}
	for _, p := range w.pollers {
		p.wake()
	}
}

// failOlderTerms fails every waiter whose mark is of a term below the given one. A waiter
// for a floor continues without its mark, since reports of a majority can still end it.
func (w *Watcher) failOlderTerms(term logpos.Term) {
	for x := range w.waiters {
		switch {
		case !x.hasMark || x.mark.Term >= term:
		case x.floor:
			x.hasMark, x.mark, x.holders = false, logpos.Mark{}, 0
		default:
			w.completeWaiter(x, result.New(result.PrimaryReplaced, "term %d was replaced by %d", x.mark.Term, term))
		}
	}
}

// wantedPosition returns the lowest position that a waiter needs the member to hold.
func (w *Watcher) wantedPosition(p *poller) (logpos.Position, bool) {
	var lowest logpos.Position
	found := false
	for x := range w.waiters {
		if !x.hasMark || x.holders&p.bit() != 0 {
			continue
		}
		if !found || x.mark.Position < lowest {
			lowest, found = x.mark.Position, true
		}
	}
	return lowest, found
}

// barrierNeedsMark reports whether a barrier is waiting for the primary's position.
func (w *Watcher) barrierNeedsMark() bool {
	for x := range w.waiters {
		if !x.hasMark {
			return true
		}
	}
	return false
}
