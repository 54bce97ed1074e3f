package shares

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
)

// sleep sleeps in virtual time.
func sleep(d time.Duration) {
	_ = clock.Sleep(context.Background(), clock.System{}, d)
}

// runSimulated runs a test with a simulation, and afterwards ends all processes and
// checks that members never held more than they may.
func runSimulated(t *testing.T, test func(is *is.I, sim *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		defer sim.stop()
		test(is.New(t), sim)
		if sim.violation != "" {
			t.Error(sim.violation)
		}
		if !sim.maxHeld.Within(total) {
			t.Errorf("members held %+v at most, the total is %+v", sim.maxHeld, total)
		}
	})
}

// stop kills all processes and waits a minute of virtual time, in which their goroutines
// end.
func (sim *simulation) stop() {
	for _, inst := range sim.instances {
		inst.kill()
	}
	sleep(time.Minute)
}

// startThree starts one instance in each failure domain.
func (sim *simulation) startThree() (a, b, c *fakeInstance) {
	a, b, c = sim.startInstance("a1", "poa-a"), sim.startInstance("b1", "poa-b"), sim.startInstance("c1", "fln-c")
	sleep(5 * time.Second)
	return a, b, c
}

// shareName returns the name of the share that an instance holds.
func (sim *simulation) shareName(inst *fakeInstance) string {
	l := sim.readLedger()
	if s := l.shareOf(inst.manager.self); s != nil {
		return s.Name
	}
	return ""
}

func TestEachFailureDomainGetsItsShare(t *testing.T) {
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, b, c := sim.startThree()
		is.Equal(sim.shareName(a), "poa-a")
		is.Equal(sim.shareName(b), "poa-b")
		is.Equal(sim.shareName(c), "fln-c")
		l := sim.readLedger()
		is.Equal(l.Sum(), total)
		is.Equal(a.connections.currentLimit(), a.manager.Limit().Connections-testControl)
	})
}

func TestCutOffHolderKeepsServing(t *testing.T) {
	// A failure domain loses the platform and all peers for half an hour, and the
	// platform removes its instance from the inventory. The instance keeps its whole
	// share: no other domain may take it, and a suspect mark is not enough.
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, b, _ := sim.startThree()
		sim.withLock(func() { a.platformCut, a.peersCut = true, true })
		sim.withLock(func() { delete(sim.inventory, "a1") })
		b.connections.setDemand(30)
		before := a.manager.Limit()
		sim.startInstance("b2", "poa-b")
		sim.startInstance("c2", "fln-c")
		sleep(3 * DefaultHolderExpiry)
		is.Equal(a.manager.Limit(), before)
		is.Equal(sim.shareName(a), "poa-a")
		a.connections.setDemand(30)
		sleep(time.Second)
	})
}

func TestPlatformOutageKeepsShares(t *testing.T) {
	// The platform is down for half an hour. Every instance keeps its share at full
	// size.
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, b, c := sim.startThree()
		sim.withLock(func() { sim.platformDown = true })
		for _, inst := range []*fakeInstance{a, b, c} {
			inst.connections.setDemand(30)
			inst.slots.setDemand(5)
		}
		sleep(3 * DefaultHolderExpiry)
		is.Equal(sim.heldByMembers(), a.manager.Limit().Plus(b.manager.Limit()).Plus(c.manager.Limit()))
		sim.withLock(func() { sim.platformDown = false })
		sleep(time.Minute)
		is.Equal(sim.shareName(a), "poa-a")
	})
}

func TestRestartedProcessTakesItsShareAtOnce(t *testing.T) {
	// A process dies and a new one starts on the same instance. It answers calls at the
	// same address, which proves that the old process has ended.
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, _, _ := sim.startThree()
		a.connections.setDemand(5)
		a.kill()
		a = sim.startInstance("a1", "poa-a")
		sleep(time.Second)
		is.Equal(sim.shareName(a), "poa-a")
	})
}

func TestReplacementTakesReserveShare(t *testing.T) {
	// An instance dies without notice and another one replaces it. There is no proof
	// that the old one holds nothing, so the replacement takes a reserve share at once,
	// borrows, and moves to the domain's share when HolderExpiry has passed.
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, _, _ := sim.startThree()
		a.connections.setDemand(5)
		sleep(time.Second)
		a.kill()
		replacement := sim.startInstance("a2", "poa-a")
		sleep(5 * time.Second)
		is.Equal(sim.shareName(replacement), "reserve-1")
		is.True(replacement.manager.Limit().Slots >= 1)
		sleep(20 * time.Minute)
		is.Equal(sim.shareName(replacement), "reserve-1")
		sim.withLock(func() { delete(sim.inventory, "a1") })
		sleep(DefaultHolderExpiry - time.Minute)
		is.Equal(sim.shareName(replacement), "reserve-1")
		sleep(5 * time.Minute)
		is.Equal(sim.shareName(replacement), "poa-a")
		sleep(time.Minute)
		l := sim.readLedger()
		is.Equal(l.Sum(), total)
	})
}

func TestWrongInventoryMovesNoShare(t *testing.T) {
	// The platform's inventory omits a running instance, and a second instance of its
	// domain tries to take the share. The holder answers peers and removes any suspect
	// mark.
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, _, _ := sim.startThree()
		sim.withLock(func() { delete(sim.inventory, "a1") })
		sim.startInstance("a2", "poa-a")
		sleep(3 * DefaultHolderExpiry)
		is.Equal(sim.shareName(a), "poa-a")
		sim.withLock(func() { a.peersCut = true })
		sleep(3 * DefaultHolderExpiry)
		is.Equal(sim.shareName(a), "poa-a")
	})
}

func TestGracefulStopReleasesShareToSuccessor(t *testing.T) {
	// An instance stops as planned while another instance of its domain holds a reserve
	// share. The share is released after its connections have closed, and the other
	// instance is notified and has it within a second.
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, _, _ := sim.startThree()
		second := sim.startInstance("a2", "poa-a")
		sleep(5 * time.Second)
		is.Equal(sim.shareName(second), "reserve-1")
		a.connections.setDemand(5)
		is.NoErr(a.shutdown(10 * time.Second))
		sleep(time.Second)
		is.Equal(sim.shareName(second), "poa-a")
	})
}

func TestFailedCloseDoesNotFreeShare(t *testing.T) {
	// Close times out while a connection is still in use. Until the process ends it
	// must not tell peers that it holds nothing: the next instance would take the share
	// and open connections in addition.
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, _, _ := sim.startThree()
		a.connections.setDemand(5)
		a.connections.keepInUse()
		a.stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(a.manager.Close(ctx) != nil)
		a.directory.Remove(testGroup)
		second := sim.startInstance("a2", "poa-a")
		sleep(time.Minute)
		is.Equal(sim.shareName(second), "reserve-1")
	})
}
