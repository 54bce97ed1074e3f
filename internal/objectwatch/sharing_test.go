package objectwatch

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// sharedInstance is one of the instances of a failure domain that follow a kind.
type sharedInstance struct {
	domain *sharedDomain
	id     string
	view   *standin.View
	calls  atomic.Int64

	mu    sync.Mutex
	names map[string]bool
}

// sharedDomain is a failure domain with a store; it is the fleet of its instances.
type sharedDomain struct {
	store     *standin.Store
	net       *peernet.Net
	instances []*sharedInstance
}

// Watch counts the watches that reach the platform.
func (i *sharedInstance) Watch(ctx context.Context, kind platform.Kind, after int64) ([]platform.Object, int64, error) {
	i.calls.Add(1)
	return i.view.Watch(ctx, kind, after)
}

// countedAPI is an instance's view of the platform with its watches counted.
type countedAPI struct {
	platform.API
	*sharedInstance
}

// Watch implements platform.API.
func (c countedAPI) Watch(ctx context.Context, kind platform.Kind, after int64) ([]platform.Object, int64, error) {
	return c.sharedInstance.Watch(ctx, kind, after)
}

// Self implements Fleet.
func (i *sharedInstance) Self() platform.Instance {
	return platform.Instance{ID: i.id, FailureDomain: "a", PeerAddress: i.id}
}

// Pick implements Fleet: the first ones have every duty.
func (i *sharedInstance) Pick(_ string, n int) []platform.Instance {
	var all []platform.Instance
	for _, o := range i.domain.instances[:min(n, len(i.domain.instances))] {
		all = append(all, o.Self())
	}
	return all
}

// Known implements Fleet.
func (*sharedInstance) Known() bool { return true }

// Listed implements Sink.
func (i *sharedInstance) Listed(objects []platform.Object) {
	i.mu.Lock()
	i.names = make(map[string]bool)
	i.mu.Unlock()
	i.Changed(objects)
}

// Changed implements Sink.
func (i *sharedInstance) Changed(objects []platform.Object) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, o := range objects {
		i.names[o.Name] = !o.Removed
	}
}

// Touch implements Sink.
func (i *sharedInstance) Touch(bool) {}

func (i *sharedInstance) knows(name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.names[name]
}

// inSharedDomain runs f with a number of instances that follow members' entries.
func inSharedDomain(t *testing.T, n int, f func(is *is.I, d *sharedDomain)) {
	synctest.Test(t, func(t *testing.T) {
		d := &sharedDomain{store: standin.NewStore(), net: peernet.New()}
		for k := range n {
			d.instances = append(d.instances, &sharedInstance{domain: d, id: fmt.Sprint("i", k), view: standin.NewView(d.store),
				names: make(map[string]bool)})
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for k, i := range d.instances {
			s := NewSharing(SharingConfig{API: countedAPI{i.view, i}, Fleet: i, Caller: d.net.At(i.id), Clock: clock.System{},
				Rand: rand.New(rand.NewPCG(uint64(k), 2)), Log: hclog.NewNullLogger()}, d.net.At(i.id))
			follower := New(Config{API: s.API(platform.KindUpstreams, 0), Kind: platform.KindUpstreams, Sink: i, Clock: clock.System{},
				Rand: rand.New(rand.NewPCG(uint64(k), 1)), Log: hclog.NewNullLogger()})
			running.Go(func() { follower.Run(ctx) })
		}
		time.Sleep(time.Second)
		f(is.New(t), d)
		cancel()
		running.Wait()
	})
}

// put writes an object, and returns how many instances know of it some time later.
func (d *sharedDomain) put(is *is.I, name string, later time.Duration) int {
	_, err := d.store.Put(context.Background(), platform.KindUpstreams, name, []byte(`{}`), 0)
	is.NoErr(err)
	time.Sleep(later)
	known := 0
	for _, i := range d.instances {
		if i.knows(name) {
			known++
		}
	}
	return known
}

// watches returns how many watches reached the platform.
func (d *sharedDomain) watches() int64 {
	var sum int64
	for _, i := range d.instances {
		sum += i.calls.Load()
	}
	return sum
}

// Twenty entries change one after the other in a failure domain of eight instances. All
// learn each at once, and only two of them watch the platform.
func TestTwoOfADomainWatchForAll(t *testing.T) {
	inSharedDomain(t, 8, func(is *is.I, d *sharedDomain) {
		before := d.watches()
		for k := range 20 {
			is.Equal(d.put(is, fmt.Sprint("m", k), 200*time.Millisecond), 8)
		}
		is.True(d.watches()-before <= 2*21)
		is.NoErr(d.store.Delete(context.Background(), platform.KindUpstreams, "m3", 1))
		time.Sleep(200 * time.Millisecond)
		for _, i := range d.instances {
			is.True(!i.knows("m3"))
		}
	})
}

// With four instances there is nothing to save, and each watches for itself.
func TestFewInstancesWatchForThemselves(t *testing.T) {
	inSharedDomain(t, 4, func(is *is.I, d *sharedDomain) {
		is.Equal(d.put(is, "m", 200*time.Millisecond), 4)
		for _, i := range d.instances {
			is.True(i.calls.Load() > 0)
		}
	})
}

// A reader is refused by the platform. It says that it cannot tell, and those who follow it
// learn of a change by the other reader, as it does itself. With both refused, the others
// learn by themselves.
func TestReaderWithoutThePlatformIsPassedBy(t *testing.T) {
	inSharedDomain(t, 8, func(is *is.I, d *sharedDomain) {
		d.instances[0].view.SetAway(true)
		time.Sleep(30 * time.Second)
		is.Equal(d.put(is, "m", time.Second), 8)
		d.instances[1].view.SetAway(true)
		time.Sleep(30 * time.Second)
		is.Equal(d.put(is, "n", time.Second), 6)
		d.instances[0].view.SetAway(false)
		d.instances[1].view.SetAway(false)
		time.Sleep(5 * time.Second)
		is.Equal(d.put(is, "o", time.Second), 8)
	})
}

// A reader dies while all wait for its answer. They find out when the answer is overdue,
// and follow the other one.
func TestDeadReaderIsPassedBy(t *testing.T) {
	inSharedDomain(t, 8, func(is *is.I, d *sharedDomain) {
		d.net.SetCut("i0", true)
		time.Sleep(2 * (afterWait + afterGrace))
		is.True(d.put(is, "m", afterWait+2*afterGrace) >= 7)
		d.net.SetCut("i0", false)
	})
}

// A reader dies, and its followers find out when its answers are overdue. From then on they
// hear of changes at once from the other one: asked first again each time, the dead one would
// hold up every change by as long as a question may wait.
func TestDeadReaderHoldsNobodyUpTwice(t *testing.T) {
	inSharedDomain(t, 8, func(is *is.I, d *sharedDomain) {
		d.net.SetCut("i0", true)
		// A question that it held when it died is answered yet; the next one is not.
		time.Sleep(2*(afterWait+afterGrace) - time.Second)
		for k := range 3 {
			is.True(d.put(is, fmt.Sprint("m", k), 500*time.Millisecond) >= 7)
		}
		d.net.SetCut("i0", false)
	})
}

// countedLists counts lists that reach the platform.
type countedLists struct {
	platform.API
	lists *atomic.Int64
}

// List implements platform.API.
func (c countedLists) List(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error) {
	c.lists.Add(1)
	return c.API.List(ctx, kind)
}

// A failure domain of forty instances starts while the platform is down for a while, and
// follows it. While the platform answers, it hears what two instances ask. In the outage the
// readers try for all, and the others seldom; everybody knows what changed within seconds of
// its return.
func TestDomainAsksForTwoThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &sharedDomain{store: standin.NewStore(), net: peernet.New()}
		var lists atomic.Int64
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for k := range 40 {
			d.instances = append(d.instances, &sharedInstance{domain: d, id: fmt.Sprint("i", k), view: standin.NewView(d.store), names: make(map[string]bool)})
		}
		for k, i := range d.instances {
			s := NewSharing(SharingConfig{API: countedLists{countedAPI{i.view, i}, &lists}, Fleet: i, Caller: d.net.At(i.id), Clock: clock.System{},
				Rand: rand.New(rand.NewPCG(uint64(k), 2)), Log: hclog.NewNullLogger()}, d.net.At(i.id))
			const check = 2 * time.Second
			api := s.API(platform.KindUpstreams, check+300*time.Millisecond)
			follower := New(Config{API: api, Kind: platform.KindUpstreams, Sink: i, Clock: clock.System{}, Check: check, Current: api.Current,
				Rand: rand.New(rand.NewPCG(uint64(k), 1)), Log: hclog.NewNullLogger()})
			running.Go(func() { follower.Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		is.Equal(d.put(is, "before", time.Second), 40)
		calm, watches := lists.Load(), d.watches()
		// Two readers list once at the start and every two seconds.
		is.True(calm <= 2*(1+6))
		d.store.SetFaults(standin.Faults{Outage: true})
		time.Sleep(10 * time.Second)
		inOutage := lists.Load() - calm + d.watches() - watches
		t.Logf("%d lists before the outage, %d lists and watches in it", calm, inOutage)
		// Two readers list and watch about once a second each, and the others do either once
		// in three in the mean.
		is.True(inOutage <= 2*2*10+38*10/3)
		d.store.SetFaults(standin.Faults{})
		is.Equal(d.put(is, "behind", 4*time.Second), 40)
		cancel()
		running.Wait()
	})
}

// A failure domain of sixty instances returns from a power cut, one after the other within
// half a second and the readers among the last. Callers wait until an instance knows the
// objects: each knows them within 300 ms of its start, wherever it learns them.
func TestDomainThatReturnsKnowsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &sharedDomain{store: standin.NewStore(), net: peernet.New()}
		is.Equal(d.put(is, "m", 0), 0)
		var lists atomic.Int64
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		const n, spread, within = 60, 500 * time.Millisecond, 300 * time.Millisecond
		for k := range n {
			d.instances = append(d.instances, &sharedInstance{domain: d, id: fmt.Sprint("i", k), view: standin.NewView(d.store), names: make(map[string]bool)})
		}
		var late atomic.Int64
		for k, i := range d.instances {
			running.Go(func() {
				// The readers are the first of the list, and start last.
				time.Sleep(spread - spread*time.Duration(k)/n)
				s := NewSharing(SharingConfig{API: countedLists{countedAPI{i.view, i}, &lists}, Fleet: i, Caller: d.net.At(i.id), Clock: clock.System{},
					Rand: rand.New(rand.NewPCG(uint64(k), 2)), Log: hclog.NewNullLogger()}, d.net.At(i.id))
				api := s.API(platform.KindUpstreams, 3*time.Second)
				follower := New(Config{API: api, Kind: platform.KindUpstreams, Sink: i, Clock: clock.System{}, Check: 2 * time.Second, Current: api.Current,
					Rand: rand.New(rand.NewPCG(uint64(k), 1)), Log: hclog.NewNullLogger()})
				running.Go(func() { follower.Run(ctx) })
				time.Sleep(within)
				if !i.knows("m") {
					late.Add(1)
				}
			})
		}
		time.Sleep(2 * time.Second)
		t.Logf("%d of %d late, %d lists", late.Load(), n, lists.Load())
		is.Equal(late.Load(), int64(0))
		// Those that start long before any reader ask for themselves.
		is.True(lists.Load() <= n)
		cancel()
		running.Wait()
	})
}
