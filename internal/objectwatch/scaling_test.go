package objectwatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// entriesPerInstance is the number of members' entries per instance of a failure domain:
	// three failure domains, two databases per instance, three members each.
	entriesPerInstance = 18
	// changesPerInstance is the number of entries that change per second, per instance of a
	// failure domain.
	changesPerInstance = 0.1
	// maxControlBytes is the number of control bytes per second that an instance may receive.
	maxControlBytes = 6000
)

// countingAPI counts the lists and watches that reach the platform.
type countingAPI struct {
	platform.API
	calls atomic.Int64
}

// List implements platform.API.
func (c *countingAPI) List(ctx context.Context, k platform.Kind) ([]platform.Object, platform.Revision, error) {
	c.calls.Add(1)
	return c.API.List(ctx, k)
}

// ListStale implements platform.API.
func (c *countingAPI) ListStale(ctx context.Context, k platform.Kind) ([]platform.Object, platform.Revision, error) {
	c.calls.Add(1)
	return c.API.ListStale(ctx, k)
}

// Watch implements platform.API.
func (c *countingAPI) Watch(ctx context.Context, k platform.Kind, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	c.calls.Add(1)
	return c.API.Watch(ctx, k, after)
}

// entryDomain is a failure domain whose instances follow members' entries over links of 10
// Mbit/s.
type entryDomain struct {
	*testDomain
	is       *is.I
	random   *rand.Rand
	links    *narrowLinks
	apis     []*countingAPI
	received []*receivedBytes
}

// newEntryValue returns an entry of about 160 bytes that has little in common with other
// entries.
func (d *entryDomain) newEntryValue() []byte {
	r := d.random
	return fmt.Appendf(nil, `{"Service":"%016x","Addr":"10.%d.%d.%d:8028","Zone":"poa-a","Version":"%08x","Slots":3,"State":"ready","DbRole":"replica","Seq":%d,"Id":"i-%016x"}`,
		r.Uint64(), r.IntN(256), r.IntN(256), r.IntN(256), r.Uint32(), r.IntN(1000), r.Uint64())
}

func newEntryDomain(t *testing.T, n int) *entryDomain {
	d := &entryDomain{testDomain: newTestDomain(n), is: is.New(t), random: rand.New(rand.NewPCG(1, uint64(n)))}
	d.fleetKnownAt = time.Now().Add(newFleetWait)
	for k := range entriesPerInstance * n {
		d.putEntry(fmt.Sprint("m", k), 0)
	}
	return d
}

func (d *entryDomain) putEntry(name string, version platform.Revision) {
	_, err := d.store.Put(context.Background(), platform.KindUpstreams, name, d.newEntryValue(), version)
	d.is.NoErr(err)
}

// start runs the followers of all instances until ctx ends.
func (d *entryDomain) start(ctx context.Context, running *sync.WaitGroup) {
	d.links = &narrowLinks{busyUntil: make(map[string]time.Time), sent: make(map[string]int)}
	for k, i := range d.instances {
		api, received := &countingAPI{API: i.view}, &receivedBytes{}
		d.apis, d.received = append(d.apis, api), append(d.received, received)
		f := d.newFollower(k, api, 3*time.Second, 3300*time.Millisecond)
		s := f.API.(*SharedAPI).sharing
		s.Caller = narrowCaller{s.Caller, d.links, received}
		running.Go(func() { f.Run(ctx) })
	}
}

// changeEntries changes random entries, evenly spread over a period.
func (d *entryDomain) changeEntries(period time.Duration) {
	n := len(d.instances)
	changes := int(changesPerInstance * float64(n) * period.Seconds())
	for range changes {
		time.Sleep(period / time.Duration(changes))
		name := fmt.Sprint("m", d.random.IntN(entriesPerInstance*n))
		o, err := d.store.Get(context.Background(), platform.KindUpstreams, name)
		d.is.NoErr(err)
		d.putEntry(name, o.Version)
	}
}

// traffic returns the median of the bytes that the instances received, and the number of calls
// that followers, as opposed to readers, made to the platform.
func (d *entryDomain) traffic() (median int, directCalls int64) {
	var all []int
	for k := range d.instances {
		all = append(all, int(d.received[k].n.Load()))
		if k >= readersPerDomain {
			directCalls += d.apis[k].calls.Load()
		}
	}
	slices.Sort(all)
	return all[len(all)/2], directCalls
}

// Load pattern: a failure domain of a hundred instances in which members' entries change ten
// times a second. Guards against lists of all objects for each change: they saturate the links
// of the readers until all instances call the platform.
func TestFollowersCostWhatChanges(t *testing.T) {
	for _, n := range domainSizes {
		synctest.Test(t, func(t *testing.T) {
			const first, steady = 6 * time.Second, 12 * time.Second
			d := newEntryDomain(t, n)
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			d.start(ctx, &running)
			d.changeEntries(first)
			before, _ := d.traffic()
			d.changeEntries(steady)
			after, direct := d.traffic()
			rate := float64(after-before) / steady.Seconds()
			t.Logf("%d instances: median %.0f bytes per second, %d calls by followers", n, rate, direct)
			d.is.True(rate <= maxControlBytes)
			d.is.Equal(direct, int64(0))
			cancel()
			running.Wait()
		})
	}
}

// Load pattern: a failure domain of a hundred instances follows one large manifest, and the
// links of its two readers are saturated by other traffic for three seconds. Guards against
// followers that list everything because the readers are slow, which keeps the readers slow
// permanently.
func TestFollowersRecoverFromCongestedReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, congested, settled, steady = 100, 3 * time.Second, 8 * time.Second, 10 * time.Second
		d := &entryDomain{testDomain: newTestDomain(n), is: is.New(t), random: rand.New(rand.NewPCG(1, n))}
		d.fleetKnownAt = time.Now().Add(newFleetWait)
		_, err := d.store.Put(context.Background(), platform.KindUpstreams, "m", largeValue(1), 0)
		d.is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		d.start(ctx, &running)
		time.Sleep(settled)
		for _, reader := range []string{"i0", "i1"} {
			d.links.send(reader, int(congested.Seconds()*narrowLinkRate))
		}
		time.Sleep(settled)
		before, directBefore := d.traffic()
		time.Sleep(steady)
		after, direct := d.traffic()
		rate := float64(after-before) / steady.Seconds()
		t.Logf("median %.0f bytes per second, %d calls by followers", rate, direct-directBefore)
		d.is.True(rate <= maxControlBytes)
		d.is.Equal(direct, directBefore)
		cancel()
		running.Wait()
	})
}
