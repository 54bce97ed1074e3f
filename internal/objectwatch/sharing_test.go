package objectwatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// Twenty entries change one after the other in a failure domain of eight instances. All
// instances get each change at once, and only two of them watch the platform.
func TestTwoReadersWatchForTheDomain(t *testing.T) {
	runInDomain(t, 8, func(is *is.I, d *testDomain) {
		before := d.watchCount()
		for k := range 20 {
			is.Equal(d.putAndCount(is, fmt.Sprint("m", k), 200*time.Millisecond), 8)
		}
		is.True(d.watchCount()-before <= 2*21)
		m3, err := d.store.Get(context.Background(), platform.KindUpstreams, "m3")
		is.NoErr(err)
		is.NoErr(d.store.Delete(context.Background(), platform.KindUpstreams, "m3", m3.Version))
		time.Sleep(200 * time.Millisecond)
		for _, i := range d.instances {
			is.True(!i.knows("m3"))
		}
	})
}

// With four instances sharing saves nothing, and each one watches the platform itself.
func TestSmallDomainWatchesDirectly(t *testing.T) {
	runInDomain(t, 4, func(is *is.I, d *testDomain) {
		is.Equal(d.putAndCount(is, "m", 200*time.Millisecond), 4)
		for _, i := range d.instances {
			is.True(i.watchCalls.Load() > 0)
		}
	})
}

// The platform refuses a reader. The reader returns an error, and its followers and the reader
// itself get changes from the other reader. With both refused, the followers call the platform
// directly.
func TestReaderWithoutThePlatformIsPassedBy(t *testing.T) {
	runInDomain(t, 8, func(is *is.I, d *testDomain) {
		d.instances[0].view.SetDisconnected(true)
		time.Sleep(30 * time.Second)
		is.Equal(d.putAndCount(is, "m", time.Second), 8)
		d.instances[1].view.SetDisconnected(true)
		time.Sleep(30 * time.Second)
		is.Equal(d.putAndCount(is, "n", time.Second), 6)
		d.instances[0].view.SetDisconnected(false)
		d.instances[1].view.SetDisconnected(false)
		time.Sleep(5 * time.Second)
		is.Equal(d.putAndCount(is, "o", time.Second), 8)
	})
}

// A reader dies while all followers wait for its response. They detect it when the response is
// overdue, and switch to the other reader.
func TestFollowersSwitchFromADeadReader(t *testing.T) {
	runInDomain(t, 8, func(is *is.I, d *testDomain) {
		d.net.SetDisconnected("i0", true)
		time.Sleep(2 * (longPollWait + longPollGrace))
		is.True(d.putAndCount(is, "m", longPollWait+2*longPollGrace) >= 7)
		d.net.SetDisconnected("i0", false)
	})
}

// A reader dies, and its followers detect it when its responses are overdue. From then on they
// must get changes from the other reader at once: if they kept asking the dead one first, it
// would delay every change by the timeout of a request.
func TestDeadReaderHoldsNobodyUpTwice(t *testing.T) {
	runInDomain(t, 8, func(is *is.I, d *testDomain) {
		d.net.SetDisconnected("i0", true)
		// A request that the reader held when it died is still answered; the next one is not.
		time.Sleep(2*(longPollWait+longPollGrace) - time.Second)
		for k := range 3 {
			is.True(d.putAndCount(is, fmt.Sprint("m", k), 500*time.Millisecond) >= 7)
		}
		d.net.SetDisconnected("i0", false)
	})
}

// countedLists counts the lists that reach the platform.
type countedLists struct {
	platform.API
	lists *atomic.Int64
}

// List implements platform.API.
func (c countedLists) List(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error) {
	c.lists.Add(1)
	return c.API.List(ctx, kind)
}

// A failure domain of forty instances follows the platform through an outage. While the platform
// answers, only two of the instances call it. During the outage the readers retry on
// behalf of all, and the others retry rarely. All instances know the changes within seconds of
// the platform's return.
func TestDomainAsksForTwoThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newTestDomain(40)
		var lists atomic.Int64
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for k, i := range d.instances {
			const check = 2 * time.Second
			follower := d.newFollower(k, countedLists{countedAPI{i.view, i}, &lists}, check, check+300*time.Millisecond)
			running.Go(func() { follower.Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		is.Equal(d.putAndCount(is, "before", time.Second), 40)
		listsBefore, watchesBefore := lists.Load(), d.watchCount()
		// Two readers list once at the start and every two seconds.
		is.True(listsBefore <= 2*(1+6))
		d.store.SetFaults(standin.Faults{Outage: true})
		time.Sleep(10 * time.Second)
		inOutage := lists.Load() - listsBefore + d.watchCount() - watchesBefore
		t.Logf("%d lists before the outage, %d lists and watches in it", listsBefore, inOutage)
		// Each of the two readers lists about once a second and watches about once a second. Each
		// of the other instances makes one call, a list or a watch, every three seconds on average.
		is.True(inOutage <= 2*2*10+38*10/3)
		d.store.SetFaults(standin.Faults{})
		is.Equal(d.putAndCount(is, "behind", 4*time.Second), 40)
		cancel()
		running.Wait()
	})
}

// A failure domain of sixty instances returns from a power failure. The instances start within
// half a second, the readers among the last. Callers wait until an instance has the objects:
// each instance must have them within 300 ms of its start, whatever their source.
func TestRestartedDomainLoadsObjectsQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n, spread, within = 60, 500 * time.Millisecond, 300 * time.Millisecond
		d := newTestDomain(n)
		is.Equal(d.putAndCount(is, "m", 0), 0)
		var lists atomic.Int64
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var late atomic.Int64
		for k, i := range d.instances {
			running.Go(func() {
				// The readers are the first instances in the list and start last.
				time.Sleep(spread - spread*time.Duration(k)/n)
				follower := d.newFollower(k, countedLists{countedAPI{i.view, i}, &lists}, 2*time.Second, 3*time.Second)
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
		// An instance that starts long before the readers lists the objects itself.
		is.True(lists.Load() <= n)
		cancel()
		running.Wait()
	})
}

// openWatches counts the watches that are waiting at the platform.
type openWatches struct {
	platform.API
	n atomic.Int64
}

// Watch implements platform.API.
func (o *openWatches) Watch(ctx context.Context, kind platform.Kind, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	o.n.Add(1)
	defer o.n.Add(-1)
	return o.API.Watch(ctx, kind, after)
}

// Guards against followers that keep watching the platform after their readers have recovered:
// the platform sends each of them large objects in full.
func TestFollowersReturnToTheirReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const check = 3 * time.Second
		is := is.New(t)
		d := newTestDomain(10)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var open []*openWatches
		for k, i := range d.instances {
			api := &openWatches{API: i.view}
			open = append(open, api)
			f := d.newFollower(k, api, check, check+300*time.Millisecond)
			running.Go(func() { f.Run(ctx) })
		}
		time.Sleep(2 * time.Second)
		watching := func() (n int64) {
			for _, o := range open[readersPerDomain:] {
				n += o.n.Load()
			}
			return n
		}
		is.Equal(watching(), int64(0))
		d.instances[0].view.SetDisconnected(true)
		d.instances[1].view.SetDisconnected(true)
		most := int64(0)
		for range 250 {
			time.Sleep(100 * time.Millisecond)
			most = max(most, watching())
		}
		is.True(most > 0)
		d.instances[0].view.SetDisconnected(false)
		d.instances[1].view.SetDisconnected(false)
		time.Sleep(check + directWatchTimeout + time.Second)
		is.Equal(watching(), int64(0))
		cancel()
		running.Wait()
	})
}

// unresponsiveAPI is a platform that accepts calls and, while unresponsive is set, answers none.
type unresponsiveAPI struct {
	platform.API
	unresponsive atomic.Bool
}

func (u *unresponsiveAPI) blockIfUnresponsive(ctx context.Context) error {
	if !u.unresponsive.Load() {
		return nil
	}
	<-ctx.Done()
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
}

// List implements platform.API.
func (u *unresponsiveAPI) List(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := u.blockIfUnresponsive(ctx); err != nil {
		return nil, 0, err
	}
	return u.API.List(ctx, kind)
}

// Watch implements platform.API.
func (u *unresponsiveAPI) Watch(ctx context.Context, kind platform.Kind, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, 26*time.Second)
	defer cancel()
	if err := u.blockIfUnresponsive(ctx); err != nil {
		return nil, after, err
	}
	return u.API.Watch(ctx, kind, after)
}

// reachabilitySink records the reachability that a follower reports.
type reachabilitySink struct {
	Sink
	reachable atomic.Bool
}

// SetReachable implements Sink.
func (s *reachabilitySink) SetReachable(reachable bool) { s.reachable.Store(reachable) }

// Guards against a follower that mistakes an unresponsive platform for one without changes
// because its direct watches are short.
func TestFollowerDetectsAnUnresponsivePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newTestDomain(8)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var apis []*unresponsiveAPI
		var sinks []*reachabilitySink
		for k, i := range d.instances {
			api, sink := &unresponsiveAPI{API: i.view}, &reachabilitySink{Sink: i}
			apis, sinks = append(apis, api), append(sinks, sink)
			f := d.newFollower(k, api, 0, 0)
			f.Sink = sink
			running.Go(func() { f.Run(ctx) })
		}
		time.Sleep(2 * time.Second)
		is.True(sinks[7].reachable.Load())
		for _, api := range apis {
			api.unresponsive.Store(true)
		}
		time.Sleep(2 * time.Minute)
		is.True(!sinks[7].reachable.Load())
		for _, api := range apis {
			api.unresponsive.Store(false)
		}
		time.Sleep(time.Minute)
		is.True(sinks[7].reachable.Load())
		cancel()
		running.Wait()
	})
}
