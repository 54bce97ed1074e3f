package objectwatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/standin/peernet"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// timingSink records when the object "late" was delivered.
type timingSink struct{ deliveredAt chan time.Time }

// ApplyList implements Sink.
func (s timingSink) ApplyList(objects []platform.Object) { s.ApplyChanges(objects) }

// ApplyChanges implements Sink.
func (s timingSink) ApplyChanges(objects []platform.Object) {
	for _, o := range objects {
		if o.Name == "late" {
			select {
			case s.deliveredAt <- time.Now():
			default:
			}
		}
	}
}

// SetReachable implements Sink.
func (timingSink) SetReachable(bool) {}

// cutAPI is a platform whose packets to and from this instance are lost while cut is set: each
// call takes a second to fail.
type cutAPI struct {
	platform.API
	cut *atomic.Bool
}

func (a cutAPI) failIfCut(ctx context.Context) error {
	if !a.cut.Load() {
		return nil
	}
	if err := clock.Sleep(ctx, clock.System{}, time.Second); err != nil {
		return err
	}
	return platform.ErrUnavailable
}

// List implements platform.API.
func (a cutAPI) List(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error) {
	if err := a.failIfCut(ctx); err != nil {
		return nil, 0, err
	}
	return a.API.List(ctx, kind)
}

// Watch implements platform.API.
func (a cutAPI) Watch(ctx context.Context, kind platform.Kind, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	if err := a.failIfCut(ctx); err != nil {
		return nil, after, err
	}
	objects, next, err := a.API.Watch(ctx, kind, after)
	if lost := a.failIfCut(ctx); lost != nil {
		return nil, after, lost
	}
	return objects, next, err
}

// largeFleet is a fleet whose failure domains all have more than maxDirectReaders instances.
type largeFleet struct{ fakeFleet }

// PickCapable implements Fleet.
func (f largeFleet) PickCapable(_ string, n int) []platform.Instance {
	if n <= readersPerDomain {
		return f.readers
	}
	all := slices.Clone(f.readers)
	for _, domain := range []string{"a", "b"} {
		for range n - readersPerDomain {
			all = append(all, platform.Instance{ID: "more", FailureDomain: domain})
		}
	}
	return all
}

// A failure domain is cut off together with its readers. One follower reconnects first, while
// the platform still refuses it. Guards against a follower that learns of a change only when its
// readers are back or when it may call the platform again, which exceeds the time limit for a
// change after a partition.
func TestReconnectedInstanceUsesReadersOfOtherDomains(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, net := standin.NewStore(), peernet.New()
			instance := func(id, domain string) platform.Instance {
				return platform.Instance{ID: id, FailureDomain: domain, PeerAddress: id}
			}
			local := []platform.Instance{instance("n1", "a"), instance("n2", "a")}
			remote := []platform.Instance{instance("f1", "b"), instance("f2", "b")}
			all := append(slices.Clone(local), remote...)
			ctx, cancel := context.WithCancel(context.Background())
			follow := func(self platform.Instance, cut *atomic.Bool, sink Sink) {
				s := NewSharing(SharingConfig{API: cutAPI{store, cut}, Fleet: largeFleet{fakeFleet{self, all}}, Caller: net.Endpoint(self.ID), Clock: clock.System{},
					Rand: rand.New(rand.NewPCG(seed, 1)), Log: hclog.NewNullLogger()}, net.Endpoint(self.ID))
				api := s.API(platform.KindManifest, 2300*time.Millisecond)
				f := New(Config{API: api, Kind: platform.KindManifest, Sink: sink, Clock: clock.System{}, CheckInterval: 2 * time.Second,
					Peers: api, Rand: rand.New(rand.NewPCG(seed, 2)), Log: hclog.NewNullLogger()})
				go f.Run(ctx)
			}
			cut := new(atomic.Bool)
			for _, i := range local {
				follow(i, cut, timingSink{make(chan time.Time, 1)})
			}
			for _, i := range remote {
				follow(i, new(atomic.Bool), timingSink{make(chan time.Time, 1)})
			}
			sink := timingSink{make(chan time.Time, 1)}
			follow(instance("s", "a"), cut, sink)
			time.Sleep(5 * time.Second)
			for _, id := range []string{"n1", "n2", "s"} {
				net.SetDisconnected(id, true)
			}
			cut.Store(true)
			time.Sleep(2 * time.Second)
			_, err := store.Put(ctx, platform.KindManifest, "late", []byte("{}"), 0)
			is.NoErr(err)
			time.Sleep(time.Duration(6000+137*seed) * time.Millisecond)
			net.SetDisconnected("s", false)
			reconnectedAt := time.Now()
			time.Sleep(12 * time.Second)
			is.Equal(len(sink.deliveredAt), 1)
			delay := (<-sink.deliveredAt).Sub(reconnectedAt)
			t.Logf("seed %d: %v after the partition ended", seed, delay)
			is.True(delay <= 5*time.Second)
			cancel()
			time.Sleep(time.Minute)
		})
	}
}
