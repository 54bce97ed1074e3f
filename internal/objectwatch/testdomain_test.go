package objectwatch

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
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

// testInstance is an instance of a failure domain that follows members' entries. It implements
// Fleet and Sink.
type testInstance struct {
	domain     *testDomain
	id         string
	view       *standin.View
	watchCalls atomic.Int64

	mu    sync.Mutex
	names map[string]bool
}

// testDomain is a failure domain with a store of objects. Its instances are the whole fleet.
type testDomain struct {
	store *standin.Store
	net   *peernet.Network
	// mu guards instances where a test changes their order while they run.
	mu        sync.Mutex
	instances []*testInstance
	// fleetKnownAt is the time from which the instances know the list of instances.
	fleetKnownAt time.Time
}

// Watch counts a watch and passes it to the platform.
func (i *testInstance) Watch(ctx context.Context, kind platform.Kind, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	i.watchCalls.Add(1)
	return i.view.Watch(ctx, kind, after)
}

// countedAPI is an instance's view of the platform that counts its watches.
type countedAPI struct {
	platform.API
	*testInstance
}

// Watch implements platform.API.
func (c countedAPI) Watch(ctx context.Context, kind platform.Kind, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	return c.testInstance.Watch(ctx, kind, after)
}

// Self implements Fleet.
func (i *testInstance) Self() platform.Instance {
	return platform.Instance{ID: i.id, FailureDomain: "a", PeerAddress: i.id}
}

// PickCapable implements Fleet. It selects the first n instances for every key.
func (i *testInstance) PickCapable(_ string, n int) []platform.Instance {
	var all []platform.Instance
	for _, o := range i.domain.first(n) {
		all = append(all, o.Self())
	}
	return all
}

// Live implements Fleet.
func (i *testInstance) Live() []platform.Instance {
	var all []platform.Instance
	for _, o := range i.domain.first(math.MaxInt) {
		all = append(all, o.Self())
	}
	return all
}

// first returns the first n instances.
func (d *testDomain) first(n int) []*testInstance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.instances[:min(n, len(d.instances))]
}

// replaceReaders makes the readers the last instances, and those behind them the readers.
func (d *testDomain) replaceReaders() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = slices.Concat(d.instances[readersPerDomain:], d.instances[:readersPerDomain])
}

// IsLoaded implements Fleet.
func (i *testInstance) IsLoaded() bool { return !time.Now().Before(i.domain.fleetKnownAt) }

// ApplyList implements Sink.
func (i *testInstance) ApplyList(objects []platform.Object) {
	i.mu.Lock()
	i.names = make(map[string]bool)
	i.mu.Unlock()
	i.ApplyChanges(objects)
}

// ApplyChanges implements Sink.
func (i *testInstance) ApplyChanges(objects []platform.Object) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, o := range objects {
		i.names[o.Name] = !o.Removed
	}
}

// SetReachable implements Sink.
func (i *testInstance) SetReachable(bool) {}

func (i *testInstance) knows(name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.names[name]
}

// newTestDomain returns a failure domain of n instances without followers.
func newTestDomain(n int) *testDomain {
	d := &testDomain{store: standin.NewStore(), net: peernet.New()}
	for k := range n {
		d.instances = append(d.instances, &testInstance{domain: d, id: fmt.Sprint("i", k), view: standin.NewView(d.store),
			names: make(map[string]bool)})
	}
	return d
}

// newFollower returns a follower of members' entries for an instance, which shares its calls to
// api. Unless check is zero, it lists the entries at that interval if no reader proves that they
// are at most maxAge old.
func (d *testDomain) newFollower(k int, api platform.API, check, maxAge time.Duration) *Follower {
	i := d.instances[k]
	s := NewSharing(SharingConfig{API: api, Fleet: i, Caller: d.net.Endpoint(i.id), Clock: clock.System{},
		Rand: rand.New(rand.NewPCG(uint64(k), 2)), Log: hclog.NewNullLogger()}, d.net.Endpoint(i.id))
	shared := s.API(platform.KindUpstreams, maxAge)
	c := Config{API: shared, Kind: platform.KindUpstreams, Sink: i, Clock: clock.System{}, CheckInterval: check,
		Rand: rand.New(rand.NewPCG(uint64(k), 1)), Log: hclog.NewNullLogger()}
	if check > 0 {
		c.Peers = shared
	}
	return New(c)
}

// runInDomain runs f in a failure domain of n instances that follow members' entries.
func runInDomain(t *testing.T, n int, f func(is *is.I, d *testDomain)) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDomain(n)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for k, i := range d.instances {
			follower := d.newFollower(k, countedAPI{i.view, i}, 0, 0)
			running.Go(func() { follower.Run(ctx) })
		}
		time.Sleep(time.Second)
		f(is.New(t), d)
		cancel()
		running.Wait()
	})
}

// putAndCount writes an object, waits, and returns how many instances know of the object.
func (d *testDomain) putAndCount(is *is.I, name string, wait time.Duration) int {
	_, err := d.store.Put(context.Background(), platform.KindUpstreams, name, []byte(`{}`), 0)
	is.NoErr(err)
	time.Sleep(wait)
	known := 0
	for _, i := range d.instances {
		if i.knows(name) {
			known++
		}
	}
	return known
}

// watchCount returns the number of watches that reached the platform.
func (d *testDomain) watchCount() int64 {
	var sum int64
	for _, i := range d.instances {
		sum += i.watchCalls.Load()
	}
	return sum
}
