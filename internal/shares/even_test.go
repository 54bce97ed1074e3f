package shares

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
)

// recordedLimits is a Resource that records the limits set by a share.
type recordedLimits struct {
	mu        sync.Mutex
	total     int
	perMember int
}

func (r *recordedLimits) Set(limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total = limit
}

func (r *recordedLimits) WaitWithinLimit(context.Context) error { return nil }

func (r *recordedLimits) Usage() (inUse, waiting int) { return 0, 0 }

func (r *recordedLimits) setPerMember(perMember int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perMember = perMember
}

func (r *recordedLimits) current() (total, perMember int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total, r.perMember
}

// All instances lose power and restart a second later. Members count the lost
// connections for three more seconds, so an instance that took its whole share at once
// would take what is left for all others. The share must stay at half until the lost
// connections have expired, even if the group's limits change meanwhile, and then reach
// its full size.
func TestStartingInstanceTakesHalfItsShare(t *testing.T) {
	const (
		linger    = 3 * time.Second
		instances = 7
		members   = 3
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limits := &recordedLimits{}
		e := &EqualShare{
			Clock: clock.System{}, LostConnectionTimeout: linger, Connections: limits, SetPerMember: limits.setPerMember, ControlPerMember: 1,
			PartOf:        func(total int) int { return total / instances },
			OnHeldChanged: func(bool) {},
		}
		e.SetAllocation(Allocation{PerMember: 55, Members: members})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.Run(ctx)
		}()
		check := func(total, perMember int) {
			t.Helper()
			synctest.Wait()
			gotTotal, gotPerMember := limits.current()
			is.Equal(gotTotal, total)
			is.Equal(gotPerMember, perMember)
		}
		check(3*members, 3)
		time.Sleep(linger / 2)
		e.SetAllocation(Allocation{PerMember: 41, Members: members})
		check(2*members, 2)
		time.Sleep(linger)
		check(4*members, 4)
		e.SetAllocation(Allocation{PerMember: 55, Members: members})
		check(6*members, 6)
		stop()
		<-done
	})
}

// An instance that starts has one connection to each member even if its part of the
// member's limit is no larger than its control connections.
func TestStartingInstanceHasAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limits := &recordedLimits{}
		e := &EqualShare{
			Clock: clock.System{}, LostConnectionTimeout: time.Second, Connections: limits, SetPerMember: limits.setPerMember, ControlPerMember: 1,
			PartOf:        func(int) int { return 1 },
			OnHeldChanged: func(bool) {},
		}
		e.SetAllocation(Allocation{PerMember: 7, Members: 2})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.Run(ctx)
		}()
		synctest.Wait()
		total, perMember := limits.current()
		is.Equal(total, 2)
		is.Equal(perMember, 1)
		stop()
		<-done
	})
}
