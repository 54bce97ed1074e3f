package registry

import (
	"context"
	"encoding/json"
	"fmt"
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

// startInstances starts the registries of n instances and returns a recorder of the list of
// each.
func startInstances(t *testing.T, n int) (*peernet.Network, []*instanceRecorder) {
	t.Helper()
	store := standin.NewStore()
	net := peernet.New()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	var lists []*instanceRecorder
	for k := range n {
		recorder := &instanceRecorder{}
		address := fmt.Sprint("peer-", k)
		r := New(Config{
			API: store, Self: platform.Instance{ID: fmt.Sprint("i", k), FailureDomain: "a", PeerAddress: address}, InstanceSink: recorder,
			Clock: clock.System{}, Seed: uint64(k), Log: hclog.NewNullLogger(), Peers: net.Endpoint(address),
		})
		r.RegisterHandlers(net.Endpoint(address))
		running.Go(func() { r.Run(ctx) })
		lists = append(lists, recorder)
	}
	time.Sleep(5 * time.Second)
	return net, lists
}

// A machine is decommissioned and its entry stays. While the entry counts, part of the requests
// of its failure domain wait for a home that does not exist. The two instances that monitor it
// must remove the entry once it has been unresponsive for removeAfter.
func TestDeadInstanceEntryIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net, lists := startInstances(t, 8)
		is.Equal(len(lists[0].last()), 8)
		net.SetDisconnected("peer-3", true)
		time.Sleep(removeAfter - sweepInterval)
		is.Equal(len(lists[0].last()), 8)
		time.Sleep(3 * sweepInterval)
		is.Equal(len(lists[0].last()), 7)
	})
}

// An instance is cut off from its peers, but not from the platform, for longer than
// removeAfter. Its entry is removed. It must not remove the entries of the instances it
// monitors, although none of them answers, and must be listed again without a restart.
func TestIsolatedInstanceRemovesNoEntriesAndIsRelisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net, lists := startInstances(t, 8)
		net.SetDisconnected("peer-3", true)
		fewest := 8
		for range 60 {
			time.Sleep(time.Second)
			fewest = min(fewest, len(lists[0].last()))
		}
		is.Equal(fewest, 7)
		net.SetDisconnected("peer-3", false)
		time.Sleep(3 * sweepInterval)
		is.Equal(len(lists[0].last()), 8)
	})
}

// All instances of a failure domain are lost. All their entries must be removed although some
// of these instances were monitored by each other.
func TestEntriesOfLostFailureDomainAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net, lists := startInstances(t, 12)
		for k := range 4 {
			net.SetDisconnected(fmt.Sprint("peer-", 4+k), true)
		}
		time.Sleep(4 * removeAfter)
		is.Equal(len(lists[0].last()), 8)
	})
}

// putCounter counts the entries written through it.
type putCounter struct {
	platform.API
	puts atomic.Int64
}

// Put implements platform.API.
func (p *putCounter) Put(ctx context.Context, kind platform.Kind, name string, value []byte, ifVersion platform.Revision) (platform.Object, error) {
	p.puts.Add(1)
	return p.API.Put(ctx, kind, name, value, ifVersion)
}

// A starting instance reads the list of instances from a peer that has not seen its new entry
// yet; the entry arrives a second later. The instance must not treat it as removed: operators
// would look for a fault, and each start would cost two more calls.
func TestDelayedOwnEntryIsNotRewritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := peernet.New()
		other := New(Config{Self: platform.Instance{ID: "i2", PeerAddress: "peer-2"}, Log: hclog.NewNullLogger()})
		other.RegisterHandlers(net.Endpoint("peer-2"))
		api := &putCounter{API: standin.NewStore()}
		r := New(Config{API: api, Self: platform.Instance{ID: "i1", PeerAddress: "peer-1"}, InstanceSink: &instanceRecorder{},
			Clock: clock.System{}, Log: hclog.NewNullLogger(), Peers: net.Endpoint("peer-1")})
		r.RegisterHandlers(net.Endpoint("peer-1"))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r.restoreOwnEntry(ctx)
		}()
		entry := func(id, address string) platform.Object {
			value, err := json.Marshal(platform.Instance{ID: id, PeerAddress: address})
			is.NoErr(err)
			return platform.Object{Name: id, Value: value}
		}
		r.ApplyList([]platform.Object{entry("i2", "peer-2")})
		time.Sleep(time.Second)
		r.ApplyChanges([]platform.Object{entry("i1", "peer-1")})
		time.Sleep(time.Minute)
		is.Equal(api.puts.Load(), int64(0))
		r.ApplyChanges([]platform.Object{{Name: "i1", Removed: true}})
		time.Sleep(time.Minute)
		is.Equal(api.puts.Load(), int64(1))
		cancel()
		<-ended
	})
}
