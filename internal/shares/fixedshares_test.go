package shares

import (
	"testing"

	"github.com/matryer/is"
)

func TestLendingAllowsMoreThanFixedShares(t *testing.T) {
	// All callers connect through one failure domain. With fixed shares they get that
	// domain's part of the total; with lending they also get what the others leave idle.
	// Neither exceeds the total. Cutting the instance off from its peers prevents
	// lending, which leaves it its fixed share.
	used := make(map[string]Amount)
	for _, kind := range []string{"fixed", "lent"} {
		runSimulated(t, func(is *is.I, sim *simulation) {
			a, _, _ := sim.startThree()
			if kind == "fixed" {
				sim.withLock(func() { a.peersCut = true })
			}
			a.connections.setDemand(30)
			a.slots.setDemand(5)
			sleep(3 * peakWindow)
			inUse, _ := a.connections.Usage()
			running, _ := a.slots.Usage()
			used[kind] = Amount{inUse, running}
		})
	}
	t.Logf("usable at one instance: fixed %+v, with lending %+v", used["fixed"], used["lent"])
	is := is.New(t)
	is.True(used["fixed"].Within(used["lent"]))
	is.True(used["lent"].Connections >= 2*used["fixed"].Connections)
}
