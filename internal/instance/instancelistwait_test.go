package instance

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/settings"
)

// A whole fleet restarts. The groups are known before, with or after the list of instances:
// homes start once both are known. Without the list they start after instanceListTimeout.
func TestHomesWaitForInstanceList(t *testing.T) {
	start := time.Unix(100, 0)
	for _, c := range []struct {
		name            string
		groups, list    time.Duration
		wantFirstHomeAt time.Duration
	}{
		{"groups before the list", 0, 200 * time.Millisecond, 200 * time.Millisecond},
		{"both together", 100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{"groups after the list", 500 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond},
		{"no list", 100 * time.Millisecond, time.Hour, 100*time.Millisecond + instanceListTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var w instanceListWait
			const step = 10 * time.Millisecond
			for at := time.Duration(0); ; at += step {
				groups := 0
				if at >= c.groups {
					groups = 8
				}
				if !w.pending(start.Add(at), groups, at >= c.list) {
					is.Equal(at, c.wantFirstHomeAt)
					return
				}
			}
		})
	}
}

// Guards against an instance that becomes home to all groups of a large fleet because it could not
// list the other instances.
func TestHomesOfManyGroupsWaitForInstanceListWithoutLimit(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	var w instanceListWait
	is.True(w.pending(start, maxGroupsWithoutList+1, false))
	is.True(w.pending(start.Add(time.Hour), maxGroupsWithoutList+1, false))
	is.True(!w.pending(start.Add(time.Hour), maxGroupsWithoutList, false))
	is.True(!w.pending(start.Add(time.Hour), maxGroupsWithoutList+1, true))
}

// delayedInstanceList is a platform that fails to list instances until listedFrom.
type delayedInstanceList struct {
	platform.API
	listedFrom time.Time
}

// List implements platform.API.
func (d delayedInstanceList) List(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error) {
	if kind == platform.KindInstances && time.Now().Before(d.listedFrom) {
		return nil, 0, platform.ErrUnavailable
	}
	return d.API.List(ctx, kind)
}

// ListStale implements platform.API.
func (d delayedInstanceList) ListStale(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error) {
	return d.List(ctx, kind)
}

// An instance starts that has its documents at once and learns of the other instances two
// seconds later. Until then it is home to no group and opens no connection to members.
func TestInstanceIsNoHomeBeforeItKnowsTheOthers(t *testing.T) {
	withClusterOf(t, 3, func(tc *testCluster) {
		s := &settings.Settings{}
		s.Instance = settings.Instance{ID: "late", FailureDomain: "late"}
		s.Caller.Address = "10.8.8.1:6432"
		s.Peer.Address = "10.8.8.1:7432"
		s.Homes.PerFailureDomain = 1
		s.Upstream.User = "topazrock"
		const listedAfter = 2 * time.Second
		n := New(Options{
			Settings: s, Network: tc.net.Host("10.8.8.1"), Clock: clock.System{}, Seed: 99, SelfRegister: true,
			Platform: delayedInstanceList{tc.views[0], time.Now().Add(listedAfter)}, Logger: testLogger(), Registry: prometheus.NewRegistry(),
		})
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- n.Run(ctx) }()
		time.Sleep(listedAfter - 100*time.Millisecond)
		tc.is.True(len(n.documents.Groups()) > 0)
		tc.is.Equal(len(n.homesCopy()), 0)
		time.Sleep(2 * time.Second)
		tc.is.Equal(len(n.homesCopy()), 1)
		stop()
		tc.is.NoErr(<-ended)
	})
}
