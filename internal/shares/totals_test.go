package shares

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLoweredTotalTakesEffectAfterClosing(t *testing.T) {
	// The service document lowers the total while all connections are in use. The sum
	// falls to it within seconds and later rises with the next version. An instance
	// that still has the old document changes nothing.
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, b, c := sim.startThree()
		for _, inst := range []*fakeInstance{a, b, c} {
			inst.connections.setDemand(30)
			inst.slots.setDemand(5)
		}
		domains := []string{"poa-a", "poa-b", "fln-c"}
		lower := Amount{Connections: 25, Slots: 3}
		for _, inst := range []*fakeInstance{a, b} {
			inst.manager.SetAllocation(Allocation{DocumentVersion: 2, Total: lower, FailureDomains: domains})
		}
		c.manager.SetAllocation(Allocation{DocumentVersion: 1, Total: total, FailureDomains: domains})
		sleep(40 * time.Second)
		l := sim.readLedger()
		is.Equal(l.Total, lower)
		is.True(l.Sum().Within(lower))
		is.True(sim.heldByMembers().Within(lower))
		c.manager.SetAllocation(Allocation{DocumentVersion: 3, Total: total, FailureDomains: domains})
		sleep(time.Minute)
		l = sim.readLedger()
		is.Equal(l.Sum(), total)
	})
}

func TestFreeShareAboveTargetIsTrimmed(t *testing.T) {
	// An instance that borrowed stops as planned after the total was lowered. Its share
	// is then free and larger than its target: the next holder that reads the ledger
	// drops what exceeds the total and gives the rest to other shares.
	is := is.New(t)
	l := Ledger{Total: Amount{20, 4}, Shares: []Share{
		{Name: "x", Target: Amount{8, 2}, Size: Amount{14, 3}},
		{Name: "y", Target: Amount{8, 2}, Size: Amount{6, 1}, Holder: &Holder{Instance: "y1"}},
		{Name: "z", Target: Amount{4, 0}, Size: Amount{4, 0}},
		{Name: "gone"},
	}}
	is.True(l.trimFreeShares())
	is.Equal(l.Sum(), l.Total)
	is.Equal(l.shareNamed("x").Size, Amount{8, 2})
	is.Equal(l.shareNamed("y").Size, Amount{8, 2})
	is.True(l.shareNamed("gone") == nil)
	is.True(!l.trimFreeShares())
}

func TestRemovedFailureDomainReleasesItsShare(t *testing.T) {
	// The operator removes a failure domain from the group. Its instance closes
	// everything, including control connections, releases the share, and continues with
	// a reserve share. It never holds more than its share.
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, b, c := sim.startThree()
		for _, inst := range []*fakeInstance{a, b, c} {
			inst.connections.setDemand(30)
		}
		sleep(time.Second)
		for _, inst := range []*fakeInstance{a, b, c} {
			inst.manager.SetAllocation(Allocation{DocumentVersion: 2, Total: Amount{30, 5}, FailureDomains: []string{"poa-a", "poa-b"}})
		}
		sleep(2 * time.Minute)
		l := sim.readLedger()
		is.True(l.shareNamed("fln-c") == nil)
		is.Equal(sim.shareName(c), "reserve-1")
		is.Equal(l.Sum(), Amount{30, 5})
	})
}

func TestSmallTotalsAreDivided(t *testing.T) {
	is := is.New(t)
	for connections := 4; connections <= 60; connections++ {
		a := Allocation{DocumentVersion: 1, Total: Amount{connections, 5}, FailureDomains: []string{"x", "y", "z"}}
		var l Ledger
		is.NoErr(l.applyAllocation(a, testControl, DefaultReserveShares))
		is.True(l.Sum().Within(a.Total))
		for _, s := range l.Shares {
			is.True(s.Size.Connections > testControl)
		}
	}
	var l Ledger
	is.True(l.applyAllocation(Allocation{Total: Amount{3, 1}, FailureDomains: []string{"x"}}, testControl, 2) != nil)
}
