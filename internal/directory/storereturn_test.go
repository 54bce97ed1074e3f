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

// Guards against new work for a member that has announced to leave, because the copy has its entry
// from before.
func TestMemberKnownToLeaveGetsNoWorkAfterAReturn(t *testing.T) {
	withHarness(t, func(h *harness) {
		time.Sleep(5 * time.Second)
		h.putMember(2, "10.0.0.2:1", true)
		time.Sleep(time.Second)
		h.is.True(h.leaving("i-2"))
		h.returnFromCopy(300*time.Millisecond, 3*time.Second)
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			h.is.True(h.leaving("i-2"))
		}
	})
}

// Guards against new work for a member that has left, because the copy still has its entry.
func TestDepartedMemberGetsNoWorkAfterAReturn(t *testing.T) {
	withHarness(t, func(h *harness) {
		time.Sleep(5 * time.Second)
		h.putMember(2, "10.0.0.2:1", true)
		time.Sleep(time.Second)
		h.removeMember(2)
		time.Sleep(time.Second)
		h.is.Equal(h.countMembers(), 2)
		h.returnFromCopy(300*time.Millisecond, 4*time.Second)
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			h.is.Equal(h.countMembers(), 2)
		}
	})
}

// Guards against members that are taken for gone before they had the time to write their entries
// again, and against such that stay although they do not.
func TestEntryLostInAReturnCountsUntilItCanBeWrittenAgain(t *testing.T) {
	withHarness(t, func(h *harness) {
		time.Sleep(5 * time.Second)
		h.putMember(3, "10.0.0.3:1", false)
		h.putMember(4, "10.0.0.4:1", true)
		time.Sleep(time.Second)
		h.is.Equal(h.countMembers(), 5)
		// The return is too short for a call to fail.
		h.store.ReturnFromCopy(3 * time.Second)
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			h.is.Equal(h.countMembers(), 5)
		}
		time.Sleep(4 * time.Second)
		h.is.Equal(h.countMembers(), 3)
	})
}

// leaving reports whether a member is known to leave.
func (h *harness) leaving(id string) bool {
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	e := h.directory.members.entries[id]
	return e != nil && e.upstream.Leaving
}
