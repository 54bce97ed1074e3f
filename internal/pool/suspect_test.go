package pool

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/result"
)

func TestSilentConnectionIsProbedBeforeUse(t *testing.T) {
	// Something between the two ends lost track of all connections older than a
	// moment; new ones work. One caller meets the silence. All idle ones of that
	// age are probed side by side and closed, and the next caller waits for one
	// new connection and not for a statement timeout on each old one.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := newFakeMembers()
		p := members.newPool(5)
		defer closePool(t, p)
		old := acquireN(t, p, firstMember, 5)
		for _, c := range old {
			members.silent[c] = true
		}
		releaseAll(p, old[1:])
		old[0].Spoil()
		p.Suspect(firstMember, old[0].Opened())
		p.Release(old[0])
		began := time.Now()
		c := acquire(t, p, firstMember)
		is.True(!slices.Contains(old, c))
		is.True(time.Since(began) <= DefaultProbeTimeout+roundTrip+openLatency)
		p.Release(c)
		sleep(DefaultProbeTimeout + DefaultCloseTimeout)
		is.Equal(p.Stats().Idle, 1)
	})
}

func TestFailedOpeningMakesOldConnectionsSuspect(t *testing.T) {
	// A member's machine is gone without a word: its idle connections are silent
	// and new ones fail. The first failed opening has the idle ones probed and
	// closed, so that no statement is sent on one and their places are free for
	// the new primary.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := newFakeMembers()
		p := members.newPool(4)
		defer closePool(t, p)
		held := acquireN(t, p, firstMember, 3)
		for _, c := range held {
			members.silent[c] = true
		}
		releaseAll(p, held[:2])
		members.down[firstMember] = true
		inUse := acquireN(t, p, firstMember, 2)
		_, err := p.Acquire(t.Context(), firstMember, "")
		is.Equal(code(err), result.UpstreamUnreachable)
		releaseAll(p, inUse)
		sleep(DefaultProbeTimeout + roundTrip)
		is.Equal(p.Stats().Idle, 0)
		is.Equal(p.Stats().InUse, 1)
		p.Release(held[2])
	})
}

func TestSuspectConnectionThatAnswersIsKept(t *testing.T) {
	// One connection went silent, others of its age did not. Those that answer
	// the probe are used again; one in use is probed when it is released.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := newFakeMembers()
		p := members.newPool(3)
		defer closePool(t, p)
		held := acquireN(t, p, firstMember, 3)
		members.silent[held[2]] = true
		releaseAll(p, held[:1])
		p.Suspect(firstMember, held[2].Opened())
		is.Equal(p.Stats().Probing, 1)
		releaseAll(p, held[1:])
		is.Equal(p.Stats().Probing, 3)
		sleep(DefaultProbeTimeout + roundTrip)
		is.Equal(p.Stats().Idle, 2)
		is.Equal(members.openings, 3)
	})
}

func TestConnectionClosedByMemberIsNotHandedOut(t *testing.T) {
	// The member restarted and closed its end of an idle connection. A
	// statement sent on it would be answered "outcome unknown" although it never
	// ran; the caller gets a new connection in its place.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := newFakeMembers()
		p := members.newPool(3)
		defer closePool(t, p)
		first := acquire(t, p, firstMember)
		p.Release(first)
		members.closedByMember[first] = true
		second := acquire(t, p, firstMember)
		is.True(second != first)
		p.Release(second)
	})
}
