package config

import (
	"testing"
	"testing/synctest"
	"time"
)

// propagationBound is the maximum time until a change is current on every
// instance.
const propagationBound = 18 * time.Second

// All pushes of a change are lost, and only one instance of each failure domain
// watches the platform. Digest exchanges alone must bring the change to every
// instance within the bound, and the time they need may grow only slowly with
// the fleet size.
func TestDigestsAloneMeetPropagationBound(t *testing.T) {
	for _, n := range []int{15, 60, 240} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetWithRelays(t, n, 1)
			defer f.stopAll()
			f.mustApply(f.instances[0], "orders", 2, 0)
			f.waitForVersion("orders", 1, propagationBound)
			f.net.setFlag(f.net.droppedMethods, methodPush, true)
			f.mustApply(f.instances[0], "orders", 3, 1)
			t.Logf("%d instances: %v", n, f.waitForVersion("orders", 2, propagationBound))
		})
	}
}
