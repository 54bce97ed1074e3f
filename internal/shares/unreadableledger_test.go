package shares

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a group that instances which start can never serve because another writer has left a ledger
// that cannot be read.
func TestUnreadableLedgerIsReplaced(t *testing.T) {
	runSimulated(t, func(is *is.I, sim *simulation) {
		a, _, _ := sim.startThree()
		sim.withLock(func() {
			sim.object.Value = []byte("nonsense")
			sim.object.Version++
		})
		a.kill()
		restarted := sim.startInstance("a1", "poa-a")
		sleep(time.Minute)
		is.True(restarted.manager.HoldsShare())
	})
}
