package objectwatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

// A reader lists again because the platform has forgotten its revision, and nothing has changed. Guards
// against a reader that has nothing for its followers from the next change on, so that each of them
// watches and lists at the platform.
func TestChangeAfterAnUnchangedListIsServed(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.applyList([]platform.Object{entryAt("a", 5)}, 10, time.Unix(1, 0))
	f.applyList([]platform.Object{entryAt("a", 5)}, 20, time.Unix(2, 0))
	f.applyWatch([]platform.Object{entryAt("b", 25)}, 20, 25)
	changed, to, _, err := f.changesAfter(10)
	is.NoErr(err)
	is.Equal(to, platform.Revision(25))
	is.Equal(len(changed), 1)
	// A response that continues from a revision that no list has shown leaves a gap.
	f.applyWatch([]platform.Object{entryAt("c", 40)}, 30, 40)
	is.True(!f.isLoaded())
}

// newInstancesFollower returns a follower of a kind that is not listed at intervals.
func newInstancesFollower(d *testDomain, k int, api platform.API) *Follower {
	i := d.instances[k]
	s := NewSharing(SharingConfig{API: api, Fleet: i, Caller: d.net.Endpoint(i.id), Clock: clock.System{},
		Rand: rand.New(rand.NewPCG(uint64(k), 2)), Log: hclog.NewNullLogger()}, d.net.Endpoint(i.id))
	return New(Config{API: s.API(platform.KindUpstreams, 0), Kind: platform.KindUpstreams, Sink: i, Clock: clock.System{},
		Rand: rand.New(rand.NewPCG(uint64(k), 1)), Log: hclog.NewNullLogger(), WatchPause: time.Second})
}

// Both readers of a failure domain are replaced by instances that followed them. Guards against new
// readers that watch and never list, so that all others call the platform from then on.
func TestNewReadersListForTheirFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n = 40
		d := newTestDomain(n)
		var apis []*countingAPI
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for k, i := range d.instances {
			api := &countingAPI{API: i.view}
			apis = append(apis, api)
			f := newInstancesFollower(d, k, api)
			running.Go(func() { f.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		is.Equal(d.putAndCount(is, "first", 3*time.Second), n)
		d.replaceReaders()
		time.Sleep(10 * time.Second)
		before := int64(0)
		for _, api := range apis {
			before += api.calls.Load()
		}
		is.Equal(d.putAndCount(is, "second", 8*time.Second), n)
		time.Sleep(10 * time.Second)
		calls := -before
		for _, api := range apis {
			calls += api.calls.Load()
		}
		t.Logf("%d calls to the platform in 18 s", calls)
		cancel()
		running.Wait()
		is.True(calls <= 10*readersPerDomain)
	})
}
