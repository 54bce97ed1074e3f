package shares

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLoweredTotalIsInForceWhenConnectionsClosed(t *testing.T) {
	// The service document lowers the total while all connections are in use.
	// The sum falls to it within seconds and later rises with the next version;
	// an instance that still has the old document changes nothing.
	run(t, func(is *is.I, w *world) {
		a, b, c := w.three()
		for _, m := range []*machine{a, b, c} {
			m.connections.demand(30)
			m.slots.demand(5)
		}
		domains := []string{"poa-a", "poa-b", "fln-c"}
		lower := Amount{Connections: 25, Slots: 3}
		for _, m := range []*machine{a, b} {
			m.manager.SetAllocation(Allocation{Document: 2, Total: lower, FailureDomains: domains})
		}
		c.manager.SetAllocation(Allocation{Document: 1, Total: total, FailureDomains: domains})
		after(40 * time.Second)
		l := w.ledger()
		is.Equal(l.Total, lower)
		is.True(l.Sum().Within(lower))
		is.True(w.seen().Within(lower))
		c.manager.SetAllocation(Allocation{Document: 3, Total: total, FailureDomains: domains})
		after(time.Minute)
		l = w.ledger()
		is.Equal(l.Sum(), total)
	})
}

func TestSeatFreedAboveItsTargetIsSettled(t *testing.T) {
	// A home that borrowed stops as planned after the total was lowered. What
	// its seat has above the target is in nobody's hands: the next holder to
	// look drops what the total has no room for and hands the rest on.
	is := is.New(t)
	l := Ledger{Total: Amount{20, 4}, Seats: []Seat{
		{Name: "x", Target: Amount{8, 2}, Size: Amount{14, 3}},
		{Name: "y", Target: Amount{8, 2}, Size: Amount{6, 1}, Holder: &Holder{Instance: "y1"}},
		{Name: "z", Target: Amount{4, 0}, Size: Amount{4, 0}},
		{Name: "gone"},
	}}
	is.True(l.settleFree())
	is.Equal(l.Sum(), l.Total)
	is.Equal(l.seat("x").Size, Amount{8, 2})
	is.Equal(l.seat("y").Size, Amount{8, 2})
	is.True(l.seat("gone") == nil)
	is.True(!l.settleFree())
}

func TestRemovedFailureDomainGivesItsSeatUp(t *testing.T) {
	// The operator moves the group out of a failure domain. Its home closes all,
	// control connections included, gives the seat up, and goes on from a
	// reserve seat; at no moment does it hold more than its seat.
	run(t, func(is *is.I, w *world) {
		a, b, c := w.three()
		for _, m := range []*machine{a, b, c} {
			m.connections.demand(30)
		}
		after(time.Second)
		for _, m := range []*machine{a, b, c} {
			m.manager.SetAllocation(Allocation{Document: 2, Total: Amount{30, 5}, FailureDomains: []string{"poa-a", "poa-b"}})
		}
		after(2 * time.Minute)
		l := w.ledger()
		is.True(l.seat("fln-c") == nil)
		is.Equal(w.seatName(c), "reserve-1")
		is.Equal(l.Sum(), Amount{30, 5})
	})
}

func TestSmallTotalsAreDivided(t *testing.T) {
	is := is.New(t)
	for connections := 4; connections <= 60; connections++ {
		a := Allocation{Document: 1, Total: Amount{connections, 5}, FailureDomains: []string{"x", "y", "z"}}
		var l Ledger
		is.NoErr(l.relayout(a, testControl, DefaultReserveSeats))
		is.True(l.Sum().Within(a.Total))
		for _, s := range l.Seats {
			is.True(s.Size.Connections > testControl)
		}
	}
	var l Ledger
	is.True(l.relayout(Allocation{Total: Amount{3, 1}, FailureDomains: []string{"x"}}, testControl, 2) != nil)
}
