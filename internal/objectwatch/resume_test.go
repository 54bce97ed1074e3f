package objectwatch

import (
	"context"
	"errors"
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
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

// laterFirstList delays the first list that an instance requests from the platform, and creates
// an object before it.
type laterFirstList struct {
	platform.API
	delay  time.Duration
	listed atomic.Bool
}

// List implements platform.API.
func (l *laterFirstList) List(ctx context.Context, k platform.Kind) ([]platform.Object, platform.Revision, error) {
	if !l.listed.Swap(true) {
		time.Sleep(l.delay)
		if _, err := l.Put(ctx, k, "between", []byte(`{}`), 0); err != nil {
			return nil, 0, err
		}
	}
	return l.API.List(ctx, k)
}

// callCounter counts the calls of one method to peers.
type callCounter struct {
	peer.Caller
	method string
	calls  *atomic.Int64
}

// Call implements peer.Caller.
func (c callCounter) Call(ctx context.Context, address, method string, params, reply any) error {
	if method == c.method {
		c.calls.Add(1)
	}
	return c.Caller.Call(ctx, address, method, params, reply)
}

// Guards against followers that all list again because the readers listed at different revisions:
// the history of one reader does not reach back to the list of the other.
func TestFollowersListOnceAlthoughReadersListApart(t *testing.T) {
	const seeds = 3
	for _, n := range domainSizes {
		for seed := range uint64(seeds) {
			synctest.Test(t, func(t *testing.T) { listApart(t, n, seed) })
		}
	}
}

// listApart starts a failure domain in which an object is created between the first lists of the
// two readers.
func listApart(t *testing.T, n int, seed uint64) {
	const period = 6 * time.Second
	d := newEntryDomain(t, n)
	d.links = &narrowLinks{busyUntil: make(map[string]time.Time), sent: make(map[string]int)}
	random := rand.New(rand.NewPCG(seed, uint64(n)))
	delay := time.Duration(1 + random.Int64N(int64(20*time.Millisecond)))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var lists atomic.Int64
	for k, i := range d.instances {
		api, received := &countingAPI{API: i.view}, &receivedBytes{}
		if k == 1 {
			api.API = &laterFirstList{API: i.view, delay: delay}
		}
		d.apis, d.received = append(d.apis, api), append(d.received, received)
		f := d.newFollower(k, api, 3*time.Second, 3300*time.Millisecond)
		s := f.API.(*SharedAPI).sharing
		s.Caller = callCounter{narrowCaller{s.Caller, d.links, received}, methodList, &lists}
		start := time.Duration(random.Int64N(int64(20 * time.Microsecond)))
		running.Go(func() {
			time.Sleep(start)
			f.Run(ctx)
		})
	}
	d.changeEntries(period)
	_, direct := d.traffic()
	cancel()
	running.Wait()
	t.Logf("%d instances, seed %d: second reader lists %v later, %d lists, %d calls by followers", n, seed, delay, lists.Load(), direct)
	d.is.Equal(lists.Load(), int64(n-readersPerDomain))
	d.is.Equal(direct, int64(0))
}

// scriptedReaders answers calls to readers by address.
type scriptedReaders map[string]func(ctx context.Context, method string) (response, error)

// Call implements peer.Caller.
func (s scriptedReaders) Call(ctx context.Context, address, method string, _, reply any) error {
	got, err := s[address](ctx, method)
	*reply.(*response) = got
	return err
}

// Handle implements peer.HandlerRegistry.
func (scriptedReaders) Handle(string, peer.Handler) {}

func compactedReader(context.Context, string) (response, error) {
	return response{Compacted: true}, nil
}

func deadReader(ctx context.Context, _ string) (response, error) {
	<-ctx.Done()
	return response{}, ctx.Err()
}

func aheadReader(context.Context, string) (response, error) { return response{Revision: 7}, nil }

// laggingReader learns the next revision after some seconds.
func laggingReader(_ context.Context, method string) (response, error) {
	if method == methodSince {
		return response{Revision: 5}, nil
	}
	time.Sleep(3 * time.Second)
	return response{Revision: 6}, nil
}

// Guards against a list that is requested although a reader can resume, and against one that is
// late because the other reader is dead.
func TestCompactedFollowerAsksTheOtherReader(t *testing.T) {
	for name, c := range map[string]struct {
		other       func(context.Context, string) (response, error)
		watch       platform.Revision
		watchLimit  time.Duration
		since       platform.Revision
		isCompacted bool
	}{
		"ahead":     {other: aheadReader, watch: 7, since: 7},
		"lagging":   {other: laggingReader, watch: 6, watchLimit: 3 * time.Second, since: 5},
		"compacted": {other: compactedReader, isCompacted: true},
		"dead":      {other: deadReader, watchLimit: readerTimeout, isCompacted: true},
	} {
		// The identifier of the instance determines which reader it asks first.
		for k := range 6 {
			self := platform.Instance{ID: fmt.Sprint("s", k), FailureDomain: "a"}
			t.Run(name+" "+self.ID, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					readers := []platform.Instance{{ID: "r0", FailureDomain: "a", PeerAddress: "r0"}, {ID: "r1", FailureDomain: "a", PeerAddress: "r1"}}
					calls := scriptedReaders{"r0": c.other, "r1": c.other}
					calls[orderReaders(readers, self.ID)[0].ID] = compactedReader
					newAPI := func() *SharedAPI {
						s := NewSharing(SharingConfig{API: eralessAPI{eras: platform.NewEraTracker(clock.System{})}, Fleet: fakeFleet{self, readers}, Caller: calls, Clock: clock.System{},
							Rand: rand.New(rand.NewPCG(1, 1)), Log: hclog.NewNullLogger()}, calls)
						return s.API(platform.KindUpstreams, 0)
					}
					start := time.Now()
					_, revision, err := newAPI().Watch(t.Context(), platform.KindUpstreams, 5)
					is.True(time.Since(start) <= c.watchLimit)
					is.Equal(errors.Is(err, platform.ErrCompacted), c.isCompacted)
					_, since, err := newAPI().ChangesSince(t.Context(), 5)
					is.Equal(errors.Is(err, platform.ErrCompacted), c.isCompacted)
					if !c.isCompacted {
						is.Equal(revision, c.watch)
						is.Equal(since, c.since)
					}
				})
			})
		}
	}
}
