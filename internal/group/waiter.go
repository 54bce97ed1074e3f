package group

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/result"
)

// waiter is one Confirm or Barrier that has not ended.
type waiter struct {
	ticket Ticket
	// marked says that mark is known; a barrier waits for the primary to tell it.
	marked bool
	mark   logpos.Mark
	// holders has one bit a member that counts, by index.
	holders uint64
	// commit says that the mark is that of a commit which nobody else can make
	// again: a log that holds it proves it at any time.
	commit bool
	// floor says that reports of a majority end the wait as well; told is what each
	// member has told since it began, by the member's bit.
	floor bool
	told  map[uint64]logpos.Mark
	// done is closed at the end, after err was set.
	done chan struct{}
	err  error
}

// join adds a waiter that counts reports asked for from now on.
func (w *Watcher) join(mark logpos.Mark, marked bool) *waiter {
	x := &waiter{ticket: w.ticket(), mark: mark, marked: marked, done: make(chan struct{})}
	w.waiters[x] = struct{}{}
	for _, f := range w.followers {
		f.wake()
	}
	return x
}

// leave removes a waiter whose caller no longer waits.
func (w *Watcher) leave(x *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiters, x)
}

// end tells a waiter its outcome.
func (w *Watcher) end(x *waiter, err error) {
	delete(w.waiters, x)
	x.err = err
	close(x.done)
}

// await waits for x to end. The second value is false if ctx ended first.
func (w *Watcher) await(ctx context.Context, x *waiter) (error, bool) {
	select {
	case <-x.done:
		return x.err, true
	case <-ctx.Done():
		w.leave(x)
		return nil, false
	}
}

// count lets a report count for every waiter that was there before it was asked.
func (w *Watcher) count(f *follower, t Ticket, s member.Status) {
	for x := range w.waiters {
		if !t.After(x.ticket) {
			continue
		}
		w.mark(x, s)
		if x.marked && attached(s, x.mark.Term) && s.Last.Position >= x.mark.Position {
			x.holders |= f.bit()
		}
		if x.marked && w.confirmedBy(x.holders) {
			w.end(x, nil)
		}
		if x.floor && !x.ended() {
			w.countReport(x, f, s.Last)
		}
	}
}

// ended reports whether the waiter was told its outcome.
func (x *waiter) ended() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}

// countPosition lets a replica's log count for every waiter for a commit that
// it holds.
func (w *Watcher) countPosition(f *follower, log logpos.Mark) {
	for x := range w.waiters {
		if !x.commit || x.mark.Term != log.Term || x.mark.Position > log.Position {
			continue
		}
		x.holders |= f.bit()
		if w.confirmedBy(x.holders) {
			w.end(x, nil)
		}
	}
}

// demandedSince returns when the oldest waiter began that the member has not
// answered; now if there is none.
func (w *Watcher) demandedSince(f *follower) time.Time {
	since := w.clock.Now()
	for x := range w.waiters {
		if x.marked && x.holders&f.bit() == 0 && x.ticket.at.Before(since) {
			since = x.ticket.at
		}
	}
	return since
}

// mark gives a barrier its mark from a report of the primary.
func (w *Watcher) mark(x *waiter, s member.Status) {
	if x.marked || s.Role != member.RolePrimary || s.Entered != w.term {
		return
	}
	x.marked = true
	x.mark = logpos.Mark{Term: s.Entered, Position: s.Last.Position}
	for _, f := range w.followers {
		f.wake()
	}
}

// failOlder ends every waiter of a term below the one given. One that a majority's
// reports end as well goes on without its mark.
func (w *Watcher) failOlder(term logpos.Term) {
	for x := range w.waiters {
		switch {
		case !x.marked || x.mark.Term >= term:
		case x.floor:
			x.marked, x.mark, x.holders = false, logpos.Mark{}, 0
		default:
			w.end(x, result.New(result.PrimaryReplaced, "term %d was replaced by %d", x.mark.Term, term))
		}
	}
}

// demand returns the lowest position that somebody waits for the member to hold.
func (w *Watcher) demand(f *follower) (logpos.Position, bool) {
	var lowest logpos.Position
	found := false
	for x := range w.waiters {
		if !x.marked || x.holders&f.bit() != 0 {
			continue
		}
		if !found || x.mark.Position < lowest {
			lowest, found = x.mark.Position, true
		}
	}
	return lowest, found
}

// barrierWaits reports whether a barrier waits for the primary's position.
func (w *Watcher) barrierWaits() bool {
	for x := range w.waiters {
		if !x.marked {
			return true
		}
	}
	return false
}
