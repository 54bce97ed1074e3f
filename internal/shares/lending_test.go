package shares

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestIdleCapacityIsLent(t *testing.T) {
	// One instance has more callers than its share allows; the others are idle. The
	// lender closes connections before the ledger changes, and the borrower has the
	// capacity within a second.
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, b, _ := sim.startThree()
		before := a.manager.Limit()
		b.connections.setDemand(4)
		sleep(3 * peakWindow)
		b.connections.setDemand(0)
		sleep(3 * peakWindow)
		a.connections.setDemand(20)
		began := time.Now()
		for a.manager.Limit().Connections == before.Connections {
			sleep(10 * time.Millisecond)
		}
		t.Logf("share lent after %v", time.Since(began))
		is.True(time.Since(began) <= time.Second)
		sleep(10 * time.Second)
		is.True(a.manager.Limit().Connections >= before.Connections+4)
	})
}

func TestLenderClosesBeforeItLends(t *testing.T) {
	// All five shares are taken and every connection of the total is open, most of them
	// idle. One instance gets more callers. The lender closes connections before it
	// lends them, so members never see one connection too many.
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, b, c := sim.startThree()
		instances := []*fakeInstance{a, b, c, sim.startInstance("a2", "poa-a"), sim.startInstance("b2", "poa-b")}
		sleep(5 * time.Second)
		for _, inst := range instances {
			inst.connections.setDemand(9)
		}
		sleep(5 * time.Second)
		is.Equal(sim.heldByMembers().Connections, total.Connections)
		for _, inst := range instances {
			inst.connections.setDemand(0)
		}
		sleep(3 * peakWindow)
		before := a.manager.Limit()
		a.connections.setDemand(20)
		sleep(10 * time.Second)
		is.True(a.manager.Limit().Connections > before.Connections)
	})
}

func TestBorrowedCapacityIsReturned(t *testing.T) {
	// A borrower becomes idle again. At a periodic refresh it closes the borrowed
	// connections and returns them to the share that is below its target.
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, b, c := sim.startThree()
		before := sim.readLedger()
		a.connections.setDemand(20)
		a.slots.setDemand(4)
		sleep(20 * time.Second)
		is.True(a.manager.Limit() != before.shareNamed("poa-a").Size)
		a.connections.setDemand(0)
		a.slots.setDemand(0)
		sleep(3 * time.Minute)
		l := sim.readLedger()
		for _, inst := range []*fakeInstance{a, b, c} {
			is.Equal(inst.manager.Limit(), l.shareOf(inst.manager.self).Target)
		}
	})
}

func TestLostLoanAnswerIsResolved(t *testing.T) {
	// The lender's update of the ledger gets no answer from the platform: the update
	// took effect, was lost, or takes effect much later. The lender keeps the lower
	// limits until a later version shows the outcome. The sum must hold in each case.
	for name, fault := range map[string]updateFault{"took effect": loseAnswer, "was lost": loseUpdate, "comes late": delayUpdate} {
		t.Run(name, func(t *testing.T) {
			runSimulated(t, func(is *is.I, sim *simulation) {
				a, b, c := sim.startThree()
				sim.withLock(func() { sim.nextFault = fault })
				a.connections.setDemand(20)
				for sim.faultPending() {
					sleep(time.Millisecond)
				}
				sleep(2 * callLatency)
				b.connections.setDemand(30)
				c.connections.setDemand(30)
				sim.deliverDelayed()
				sleep(30 * time.Second)
				l := sim.readLedger()
				is.Equal(l.Sum(), total)
				for _, inst := range []*fakeInstance{a, b, c} {
					is.Equal(inst.manager.Limit(), l.shareOf(inst.manager.self).Size)
				}
			})
		})
	}
}

func TestLostLenderAnswerLosesNoCapacity(t *testing.T) {
	// The lender's answer to the borrower is lost. The ledger contains the change, so
	// the borrower finds its capacity at the next refresh and nothing is counted twice.
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, b, c := sim.startThree()
		before := a.manager.Limit()
		sim.withLock(func() { b.dropNextAnswer, c.dropNextAnswer = true, true })
		a.connections.setDemand(20)
		sleep(time.Minute)
		is.True(a.manager.Limit().Connections > before.Connections)
		l := sim.readLedger()
		is.Equal(l.Sum(), total)
	})
}

func TestFrozenBorrowerKeepsItsLoan(t *testing.T) {
	// A borrower freezes for half an hour with borrowed connections open. Nobody else
	// may use them meanwhile: with a lease that expired by time, the lender would open
	// its own connections in addition. After the thaw the borrower continues normally.
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, b, c := sim.startThree()
		a.connections.setDemand(20)
		sleep(20 * time.Second)
		borrowed := a.manager.Limit()
		a.freeze()
		b.connections.setDemand(30)
		c.connections.setDemand(30)
		sleep(3 * DefaultHolderExpiry)
		l := sim.readLedger()
		is.Equal(l.shareOf(a.manager.self).Size, borrowed)
		a.thaw()
		sleep(10 * time.Second)
		is.Equal(sim.shareName(a), "poa-a")
	})
}
