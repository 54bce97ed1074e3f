package config

import (
	"testing"
	"testing/synctest"
	"time"
)

// spreadBound is how soon a change must be in force everywhere.
const spreadBound = 18 * time.Second

// All pushes of a change are lost, and only one instance of each failure domain
// watches the platform. Digests alone must bring the change to every instance
// within the bound, and their time may grow only slowly with the fleet.
func TestDigestsAloneMeetTheBound(t *testing.T) {
	for _, n := range []int{15, 60, 240} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetWith(t, n, 1)
			defer f.stop()
			f.apply(f.nodes[0], "orders", 2, 0)
			f.all("orders", 1, spreadBound)
			f.net.set(f.net.lose, methodPush, true)
			f.apply(f.nodes[0], "orders", 3, 1)
			t.Logf("%d instances: %v", n, f.all("orders", 2, spreadBound))
		})
	}
}
