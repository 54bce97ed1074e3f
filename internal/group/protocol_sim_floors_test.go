package group

import (
	"github.com/topazrock/topazrock/internal/logpos"
)

// simFloor is a read that asks a majority how far the log of all that is acknowledged
// reaches.
type simFloor struct {
	by     *simInstance
	waiter *waiter
	// covers are the writes that had been confirmed when the read arrived.
	covers []entry
	// pair is the highest mark told, with term and position taken together.
	pair logpos.Mark
	// mark is the floor, once proven.
	mark   logpos.Mark
	proven bool
}

// keptFloors is how many floors a walk looks at; older ones make way.
const keptFloors = 6

// told is the end of a member's log as it reports it.
func (x *sim) told(m *simMember) logpos.Mark {
	mark := m.mark()
	if x.memberTerms && len(m.log) > 0 {
		mark.Term = m.term
	}
	return mark
}

// stepFloors begins a read now and then, and checks that no member whose log holds a
// proven floor lacks a write that it covers. The read may run at any later moment.
func (x *sim) stepFloors(i *simInstance) {
	if x.floorRand.IntN(8) == 0 {
		x.beginFloor(i)
	}
	for _, f := range x.floors {
		x.prove(f)
		for _, m := range x.members {
			if f.proven && m.up && x.accepts(m, f.mark) {
				x.checkFloor(f, m)
			}
		}
	}
}

func (x *sim) beginFloor(i *simInstance) {
	f := &simFloor{by: i, waiter: i.w.joinFloor()}
	if x.fault == faultFloorOldReport {
		f.waiter.ticket = Ticket{}
	}
	for _, w := range x.writes {
		if w.confirmed {
			f.covers = append(f.covers, w.entry)
		}
	}
	x.floors = append(x.floors, f)
	if len(x.floors) > keptFloors {
		x.floors[0].by.w.leave(x.floors[0].waiter)
		x.floors = x.floors[1:]
	}
	x.say("%s begins a read, %d writes confirmed", i.name, len(f.covers))
}

// noteReport keeps the highest pair that an instance hears.
func (x *sim) noteReport(i *simInstance, r simReport) {
	for _, f := range x.floors {
		if f.by == i && r.observation == nil && r.ticket.After(f.waiter.ticket) && f.pair.Less(r.status.Last) {
			f.pair = r.status.Last
		}
	}
}

// prove takes the floor as soon as the reports prove it, also where the primary would
// be asked: whether a majority's word is wanted has no part in whether it is true.
func (x *sim) prove(f *simFloor) {
	if f.proven {
		return
	}
	switch {
	case f.waiter.ended():
		f.mark, f.proven = f.waiter.mark, f.waiter.err == nil
	case x.fault == faultFloorSmall:
		for _, told := range f.waiter.told {
			f.mark, f.proven = told, true
		}
	default:
		f.mark, f.proven = f.by.w.floorOf(f.waiter)
	}
	if f.proven && x.fault == faultFloorPair {
		f.mark = f.pair
	}
	if f.proven {
		x.say("%s reads from %v on", f.by.name, f.mark)
	}
}

// accepts reports whether a member takes a read that asks for a position.
func (x *sim) accepts(m *simMember, mark logpos.Mark) bool {
	told := x.told(m)
	if x.memberTerms {
		return told.Term >= mark.Term && told.Position >= mark.Position
	}
	return !told.Less(mark)
}

func (x *sim) checkFloor(f *simFloor, m *simMember) {
	for _, e := range f.covers {
		if !holds(m, e) {
			x.fail("%s reads from %v on at %s, which lacks write %d", f.by.name, f.mark, m.address, e.number)
		}
	}
}
