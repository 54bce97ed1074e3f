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
	// A network device has dropped the state of all connections older than a certain time;
	// new ones work. After one request has detected it, all idle connections of that age
	// are probed concurrently and closed, so that the next request waits for one new
	// connection and not for a statement timeout on each old one.
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
		old[0].MarkUnusable()
		p.MarkSuspect(firstMember, old[0].Opened())
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
	// A member's machine fails without closing its connections: idle ones do not respond
	// and new ones cannot be opened. The first failed opening causes the idle ones to be
	// probed and closed, so that no statement is sent on them and the new primary can use
	// their part of the limit.
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
	// One connection stopped responding, others of the same age did not. Those that answer
	// the probe are reused; one in use is probed on release.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := newFakeMembers()
		p := members.newPool(3)
		defer closePool(t, p)
		held := acquireN(t, p, firstMember, 3)
		members.silent[held[2]] = true
		releaseAll(p, held[:1])
		p.MarkSuspect(firstMember, held[2].Opened())
		is.Equal(p.Stats().Probing, 1)
		releaseAll(p, held[1:])
		is.Equal(p.Stats().Probing, 3)
		sleep(DefaultProbeTimeout + roundTrip)
		is.Equal(p.Stats().Idle, 2)
		is.Equal(members.openings, 3)
	})
}

func TestConnectionClosedByMemberIsNotHandedOut(t *testing.T) {
	// The member restarted and closed its end of an idle connection. A statement sent on it
	// would end as "outcome unknown" although it never ran; the request must get a new
	// connection instead.
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
