package shares

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
)

// after sleeps in virtual time.
func after(d time.Duration) {
	_ = clock.Sleep(context.Background(), clock.System{}, d)
}

// run gives the test a world and ends all of its processes afterwards.
func run(t *testing.T, test func(is *is.I, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.end()
		test(is.New(t), w)
		if w.violation != "" {
			t.Error(w.violation)
		}
		if !w.highest.Within(total) {
			t.Errorf("members held %+v at most, the total is %+v", w.highest, total)
		}
	})
}

// end kills all processes and waits until their goroutines are gone.
func (w *world) end() {
	for _, m := range w.machines {
		m.kill()
	}
	after(time.Minute)
}

// three starts one instance in each failure domain.
func (w *world) three() (a, b, c *machine) {
	a, b, c = w.start("a1", "poa-a"), w.start("b1", "poa-b"), w.start("c1", "fln-c")
	after(5 * time.Second)
	return a, b, c
}

// seatName returns the name of the seat that a machine holds.
func (w *world) seatName(m *machine) string {
	l := w.ledger()
	if s := l.seatOf(m.manager.self); s != nil {
		return s.Name
	}
	return ""
}

func TestEachFailureDomainGetsItsSeat(t *testing.T) {
	run(t, func(is *is.I, w *world) {
		a, b, c := w.three()
		is.Equal(w.seatName(a), "poa-a")
		is.Equal(w.seatName(b), "poa-b")
		is.Equal(w.seatName(c), "fln-c")
		l := w.ledger()
		is.Equal(l.Sum(), total)
		is.Equal(a.connections.bound(), a.manager.Limit().Connections-testControl)
	})
}

func TestIdleShareIsLent(t *testing.T) {
	// One home has more callers than its share; the others are idle. The lender
	// closes before the ledger says so, and the borrower has it within a second.
	run(t, func(is *is.I, w *world) {
		a, b, _ := w.three()
		before := a.manager.Limit()
		b.connections.demand(4)
		after(3 * peakWindow)
		b.connections.demand(0)
		after(3 * peakWindow)
		a.connections.demand(20)
		began := time.Now()
		for a.manager.Limit().Connections == before.Connections {
			after(10 * time.Millisecond)
		}
		t.Logf("share lent after %v", time.Since(began))
		is.True(time.Since(began) <= time.Second)
		after(10 * time.Second)
		is.True(a.manager.Limit().Connections >= before.Connections+4)
	})
}

func TestLenderClosesBeforeItLends(t *testing.T) {
	// All five seats are taken and every connection of the total is open, most
	// of them idle. One home gets more callers. What it borrows was closed by
	// the lender before, so members never see one connection more.
	run(t, func(is *is.I, w *world) {
		a, b, c := w.three()
		machines := []*machine{a, b, c, w.start("a2", "poa-a"), w.start("b2", "poa-b")}
		after(5 * time.Second)
		for _, m := range machines {
			m.connections.demand(9)
		}
		after(5 * time.Second)
		is.Equal(w.seen().Connections, total.Connections)
		for _, m := range machines {
			m.connections.demand(0)
		}
		after(3 * peakWindow)
		before := a.manager.Limit()
		a.connections.demand(20)
		after(10 * time.Second)
		is.True(a.manager.Limit().Connections > before.Connections)
	})
}

func TestBorrowedShareComesBack(t *testing.T) {
	// A borrower is idle again. At its slow beat it closes what it borrowed and
	// gives it to the seat that is below its target.
	run(t, func(is *is.I, w *world) {
		a, b, c := w.three()
		before := w.ledger()
		a.connections.demand(20)
		a.slots.demand(4)
		after(20 * time.Second)
		is.True(a.manager.Limit() != before.seat("poa-a").Size)
		a.connections.demand(0)
		a.slots.demand(0)
		after(3 * time.Minute)
		l := w.ledger()
		for _, m := range []*machine{a, b, c} {
			is.Equal(m.manager.Limit(), l.seatOf(m.manager.self).Target)
		}
	})
}

func TestLostAnswerOfALoanIsSettled(t *testing.T) {
	// The platform's answer to the lender's update is lost: it took effect, it
	// was lost, or it takes effect long after. The lender stays at the lower
	// size until a later version shows which; the sum holds in each case.
	for name, fault := range map[string]loss{"took effect": loseAnswer, "was lost": loseUpdate, "comes late": delayUpdate} {
		t.Run(name, func(t *testing.T) {
			run(t, func(is *is.I, w *world) {
				a, b, c := w.three()
				w.set(func() { w.lose = fault })
				a.connections.demand(20)
				for w.faulty() {
					after(time.Millisecond)
				}
				after(2 * callLatency)
				b.connections.demand(30)
				c.connections.demand(30)
				w.deliverLate()
				after(30 * time.Second)
				l := w.ledger()
				is.Equal(l.Sum(), total)
				for _, m := range []*machine{a, b, c} {
					is.Equal(m.manager.Limit(), l.seatOf(m.manager.self).Size)
				}
			})
		})
	}
}

func TestLostMessageOfALenderLosesNothing(t *testing.T) {
	// The lender's answer to the borrower is lost. The ledger has the change, so
	// the borrower finds its share at its next reading and nothing is doubled.
	run(t, func(is *is.I, w *world) {
		a, b, c := w.three()
		before := a.manager.Limit()
		w.set(func() { b.dropNext, c.dropNext = true, true })
		a.connections.demand(20)
		after(time.Minute)
		is.True(a.manager.Limit().Connections > before.Connections)
		l := w.ledger()
		is.Equal(l.Sum(), total)
	})
}

func TestFrozenBorrowerKeepsItsLoan(t *testing.T) {
	// A borrower freezes for half an hour with borrowed connections open. Nobody may
	// use them meanwhile: a lease that ran out by time would have let the lender
	// open its own beside them. After the thaw all goes on.
	run(t, func(is *is.I, w *world) {
		a, b, c := w.three()
		a.connections.demand(20)
		after(20 * time.Second)
		borrowed := a.manager.Limit()
		a.freeze()
		b.connections.demand(30)
		c.connections.demand(30)
		after(3 * DefaultAgeOut)
		l := w.ledger()
		is.Equal(l.seatOf(a.manager.self).Size, borrowed)
		a.thaw()
		after(10 * time.Second)
		is.Equal(w.seatName(a), "poa-a")
	})
}

func TestCutOffHomeGoesOnServing(t *testing.T) {
	// A failure domain loses the platform and all peers for half an hour, and the
	// platform drops it from its list. Its home keeps its whole seat, no other
	// domain takes it, and a mark is not enough.
	run(t, func(is *is.I, w *world) {
		a, b, _ := w.three()
		w.set(func() { a.cutOff, a.deaf = true, true })
		w.set(func() { delete(w.list, "a1") })
		b.connections.demand(30)
		before := a.manager.Limit()
		w.start("b2", "poa-b")
		w.start("c2", "fln-c")
		after(3 * DefaultAgeOut)
		is.Equal(a.manager.Limit(), before)
		is.Equal(w.seatName(a), "poa-a")
		a.connections.demand(30)
		after(time.Second)
	})
}

func TestPlatformOutageCostsNothing(t *testing.T) {
	// The platform is down for half an hour. Every home keeps its seat and its size.
	run(t, func(is *is.I, w *world) {
		a, b, c := w.three()
		w.set(func() { w.down = true })
		for _, m := range []*machine{a, b, c} {
			m.connections.demand(30)
			m.slots.demand(5)
		}
		after(3 * DefaultAgeOut)
		is.Equal(w.seen(), a.manager.Limit().Plus(b.manager.Limit()).Plus(c.manager.Limit()))
		w.set(func() { w.down = false })
		after(time.Minute)
		is.Equal(w.seatName(a), "poa-a")
	})
}

func TestRestartedProcessTakesItsSeatAtOnce(t *testing.T) {
	// A process dies and a new one starts on the same instance. It takes calls
	// at the same address, which proves that the old one is gone.
	run(t, func(is *is.I, w *world) {
		a, _, _ := w.three()
		a.connections.demand(5)
		a.kill()
		a = w.start("a1", "poa-a")
		after(time.Second)
		is.Equal(w.seatName(a), "poa-a")
	})
}

func TestReplacedInstanceTakesAReserveSeat(t *testing.T) {
	// A machine dies without a word and another one takes its place. There is no
	// proof that the old one holds nothing, so the new one serves from a reserve
	// seat at once, borrows, and moves to the domain's seat when that has aged out.
	run(t, func(is *is.I, w *world) {
		a, _, _ := w.three()
		a.connections.demand(5)
		after(time.Second)
		a.kill()
		replacement := w.start("a2", "poa-a")
		after(5 * time.Second)
		is.Equal(w.seatName(replacement), "reserve-1")
		is.True(replacement.manager.Limit().Slots >= 1)
		after(20 * time.Minute)
		is.Equal(w.seatName(replacement), "reserve-1")
		w.set(func() { delete(w.list, "a1") })
		after(DefaultAgeOut - time.Minute)
		is.Equal(w.seatName(replacement), "reserve-1")
		after(5 * time.Minute)
		is.Equal(w.seatName(replacement), "poa-a")
		after(time.Minute)
		l := w.ledger()
		is.Equal(l.Sum(), total)
	})
}

func TestWrongListMovesNoSeat(t *testing.T) {
	// The platform's list drops a living home, and a second instance of its
	// domain wants the seat. The home answers peers and removes any mark.
	run(t, func(is *is.I, w *world) {
		a, _, _ := w.three()
		w.set(func() { delete(w.list, "a1") })
		w.start("a2", "poa-a")
		after(3 * DefaultAgeOut)
		is.Equal(w.seatName(a), "poa-a")
		w.set(func() { a.deaf = true })
		after(3 * DefaultAgeOut)
		is.Equal(w.seatName(a), "poa-a")
	})
}

func TestGracefulStopHandsTheSeatOver(t *testing.T) {
	// A home stops as planned while another instance of its domain waits on a
	// reserve seat. The seat is given up after its connections closed, and the
	// other one is told and has it within a second.
	run(t, func(is *is.I, w *world) {
		a, _, _ := w.three()
		second := w.start("a2", "poa-a")
		after(5 * time.Second)
		is.Equal(w.seatName(second), "reserve-1")
		a.connections.demand(5)
		is.NoErr(a.shutdown(10 * time.Second))
		after(time.Second)
		is.Equal(w.seatName(second), "poa-a")
	})
}

func TestUnfinishedStopIsNoProof(t *testing.T) {
	// A home's stop runs out of time while a connection is still in use. Until
	// its process ends it must not tell peers that it holds nothing: the next
	// one would take the seat and open connections beside it.
	run(t, func(is *is.I, w *world) {
		a, _, _ := w.three()
		a.connections.demand(5)
		a.connections.stick()
		a.stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(a.manager.Close(ctx) != nil)
		a.directory.Remove(testGroup)
		second := w.start("a2", "poa-a")
		after(time.Minute)
		is.Equal(w.seatName(second), "reserve-1")
	})
}

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
