package shares

import (
	"testing"

	"github.com/matryer/is"
)

func TestLendingAgainstFixedShares(t *testing.T) {
	// The morning's callers all come in through one failure domain. With fixed
	// shares they get that domain's part of the total; with lending they also
	// get what the others leave idle, and the total holds in both.
	used := make(map[string]Amount)
	for _, kind := range []string{"fixed", "lent"} {
		run(t, func(is *is.I, w *world) {
			a, _, _ := w.three()
			if kind == "fixed" {
				w.set(func() { a.deaf = true })
			}
			a.connections.demand(30)
			a.slots.demand(5)
			after(3 * peakWindow)
			inUse, _ := a.connections.Use()
			running, _ := a.slots.Use()
			used[kind] = Amount{inUse, running}
		})
	}
	t.Logf("usable at one home: fixed %+v, with lending %+v", used["fixed"], used["lent"])
	is := is.New(t)
	is.True(used["fixed"].Within(used["lent"]))
	is.True(used["lent"].Connections >= 2*used["fixed"].Connections)
}
