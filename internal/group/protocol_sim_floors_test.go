package group

import (
	"github.com/topazrock/topazrock/internal/logpos"
)

// simFloor is a read that asks a majority for a position that covers every acknowledged
// write.
type simFloor struct {
	by     *simInstance
	waiter *waiter
	// covered lists the writes that had been confirmed when the read arrived.
	covered []entry
	// highestReported is the highest reported mark, compared as a pair of term and
	// position.
	highestReported logpos.TermPosition
	// mark is the floor once it is proven.
	mark   logpos.TermPosition
	proven bool
}

// maxFloors is the number of floors that a walk checks; the oldest is discarded first.
const maxFloors = 6

// reportedMark is the end of a member's log as the member reports it.
func (x *sim) reportedMark(m *simMember) logpos.TermPosition {
	mark := m.mark()
	if x.memberTerms && len(m.log) > 0 {
		mark.Term = m.term
	}
	return mark
}

// stepFloors occasionally begins a read, and checks that no member whose log holds a
// proven floor lacks a write that the floor covers. The read may run at any later time.
func (x *sim) stepFloors(i *simInstance) {
	if x.floorRand.IntN(8) == 0 {
		x.beginFloor(i)
	}
	for _, f := range x.floors {
		x.resolveFloor(f)
		for _, m := range x.members {
			if f.proven && m.up && x.accepts(m, f.mark) {
				x.checkFloor(f, m)
			}
		}
	}
}

func (x *sim) beginFloor(i *simInstance) {
	f := &simFloor{by: i, waiter: i.w.startFloor()}
	if x.fault == faultFloorOldReport {
		f.waiter.ticket = Ticket{}
	}
	for _, w := range x.writes {
		if w.confirmed {
			f.covered = append(f.covered, w.entry)
		}
	}
	x.floors = append(x.floors, f)
	if len(x.floors) > maxFloors {
		x.floors[0].by.w.removeWaiter(x.floors[0].waiter)
		x.floors = x.floors[1:]
	}
	x.logStep("%s begins a read, %d writes confirmed", i.name, len(f.covered))
}

// recordHighestReport records the highest mark, as a pair, that an instance receives.
func (x *sim) recordHighestReport(i *simInstance, r simReport) {
	for _, f := range x.floors {
		if f.by == i && r.observation == nil && r.ticket.After(f.waiter.ticket) && f.highestReported.Less(r.status.LastRecord) {
			f.highestReported = r.status.LastRecord
		}
	}
}

// resolveFloor determines the floor once the reports prove it, even in states in which the
// primary would be queried instead: that choice does not affect whether the floor is
// correct.
func (x *sim) resolveFloor(f *simFloor) {
	if f.proven {
		return
	}
	switch {
	case f.waiter.ended():
		f.mark, f.proven = f.waiter.mark, f.waiter.err == nil
	case x.fault == faultFloorOfOneReport:
		for _, reported := range f.waiter.reported {
			f.mark, f.proven = reported, true
		}
	default:
		f.mark, f.proven = f.by.w.provenFloor(f.waiter)
	}
	if f.proven && x.fault == faultFloorSingleMark {
		f.mark = f.highestReported
	}
	if f.proven {
		x.logStep("%s gets the floor %v", f.by.name, f.mark)
	}
}

// accepts reports whether a member accepts a read that requires a position.
func (x *sim) accepts(m *simMember, mark logpos.TermPosition) bool {
	reported := x.reportedMark(m)
	if x.memberTerms {
		return reported.Term >= mark.Term && reported.Position >= mark.Position
	}
	return !reported.Less(mark)
}

func (x *sim) checkFloor(f *simFloor, m *simMember) {
	for _, e := range f.covered {
		if !hasEntry(m, e) {
			x.fail("%s reads with the floor %v at %s, which lacks write %d", f.by.name, f.mark, m.address, e.number)
		}
	}
}
