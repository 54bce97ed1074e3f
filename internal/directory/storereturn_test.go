package directory

import (
	"fmt"
	"testing"
	"time"

	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// manifestBound is the time within which an acknowledged manifest must be in force.
const manifestBound = 3 * time.Second

// callTime is how long the platform takes for a call.
const callTime = 8 * time.Millisecond

// returnFromCopy makes the platform unavailable for a while, after which it is back from a copy
// of the given age.
func (h *harness) returnFromCopy(away, age time.Duration) {
	h.store.SetFaults(standin.Faults{Outage: true})
	time.Sleep(away)
	h.store.ReturnFromCopy(age)
	h.store.SetFaults(standin.Faults{Delay: callTime})
}

// Guards against manifests that are not put in force after the platform's revisions went back.
func TestManifestIsInForceAfterThePlatformReturnsFromAnOlderCopy(t *testing.T) {
	withHarness(t, func(h *harness) {
		for i := range 12 {
			h.putMember(i%3, fmt.Sprintf("10.0.0.%d:1", i%3), i%2 == 0)
		}
		time.Sleep(time.Second)
		h.returnFromCopy(700*time.Millisecond, 5*time.Second)
		for version := int64(5); version <= 9; version += 2 {
			h.putManifest(version, "db", fmt.Sprint("added", version))
			time.Sleep(manifestBound)
			h.is.Equal(h.inForce(), version)
		}
	})
}

// inForce returns the version of the manifest in force.
func (h *harness) inForce() int64 {
	_, version := h.directory.Services()
	return version
}
