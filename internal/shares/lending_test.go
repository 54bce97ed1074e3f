package shares

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

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
