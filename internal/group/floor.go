package group

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// floorPoll is the least time between two reports of a member for those who wait for a
// floor: a few round trips between failure domains. All that wait share them.
const floorPoll = 20 * time.Millisecond

// A floor is a mark that no acknowledged write exceeds. What was acknowledged is on a
// majority, so that any majority of members that report after a read began has a member
// among it whose log holds it. The highest position that one of them tells, in the
// highest term, is at or past every acknowledged one: positions run on through a change
// of the primary, and a log of a later term begins with all that was acknowledged in
// earlier ones. It needs no primary, and nobody held: what is acknowledged later need
// not be covered.
//
// Term and position are taken by themselves. A replica that has just heard of a new
// primary may report the new term and a position that is behind what was acknowledged
// in the old one; taken as one mark it would pass for the highest.
//
// Without it, reads ended with the primary: a group that had lost it refused them until
// another one led, though two replicas of three were there.

// Floor implements Tracker. Its errors are of the did-not-run family.
func (w *Watcher) Floor(ctx context.Context) (logpos.Mark, error) {
	start := w.clock.Now()
	mark, err := w.awaitMark(ctx, w.joinFloor())
	w.metrics.floor.WithLabelValues(w.group, outcome(err)).Observe(w.since(start))
	return mark, err
}

func (w *Watcher) joinFloor() *waiter {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.join(logpos.Mark{}, false)
	x.floor, x.told = true, make(map[uint64]logpos.Mark)
	return x
}

// countReport lets a report count for a waiter for a floor.
func (w *Watcher) countReport(x *waiter, f *follower, last logpos.Mark) {
	x.told[f.bit()] = highest(x.told[f.bit()], last)
	w.proveFloor(x)
}

// highest returns the higher term and the higher position of two marks.
func highest(a, b logpos.Mark) logpos.Mark {
	return logpos.Mark{Term: max(a.Term, b.Term), Position: max(a.Position, b.Position)}
}

// proveFloor ends a waiter for a floor if members enough have reported.
func (w *Watcher) proveFloor(x *waiter) {
	if !w.floorsCount() {
		return
	}
	mark, ok := w.floorOf(x)
	if !ok {
		return
	}
	x.mark = mark
	w.lastFloor = sample{ticket: x.ticket, mark: mark}
	w.end(x, nil)
}

// floorOf returns the floor that the reports prove. Where the replicas are enough, the
// primary's own end of the log is left out: it may be ahead of all that was
// acknowledged, and then no replica has it.
func (w *Watcher) floorOf(x *waiter) (logpos.Mark, bool) {
	primary := w.primaryBit()
	if mark, ok := w.highestTold(x, func(bit uint64) bool { return bit != primary }); ok {
		return mark, true
	}
	return w.highestTold(x, func(uint64) bool { return true })
}

// highestTold returns the highest of what members told, and whether they are enough.
func (w *Watcher) highestTold(x *waiter, counts func(bit uint64) bool) (logpos.Mark, bool) {
	var mark logpos.Mark
	var set uint64
	for bit, told := range x.told {
		if counts(bit) {
			mark = highest(mark, told)
			set |= bit
		}
	}
	return mark, w.enough(set)
}

// floorsCount reports whether reports of a majority are taken for a floor. While the
// primary answers and replicas get on, its own confirmed position is the lower one,
// which more replicas hold.
func (w *Watcher) floorsCount() bool {
	return w.unsettled() || !w.stalledSince().IsZero()
}

// primaryBit stands for the primary in sets; zero where it is not known.
func (w *Watcher) primaryBit() uint64 {
	if p := w.find(w.primary); p != nil {
		return p.bit()
	}
	return 0
}

// floorWaits reports whether somebody waits for a report of f to prove a floor.
func (w *Watcher) floorWaits(f *follower) bool {
	for x := range w.waiters {
		if _, told := x.told[f.bit()]; x.floor && !told {
			return w.floorsCount()
		}
	}
	return false
}
