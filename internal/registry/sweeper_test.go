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

// fleet starts registries of n instances; the result lists what each has adopted.
func fleet(t *testing.T, n int) (*peernet.Net, []*adopted) {
	t.Helper()
	store := standin.NewStore()
	net := peernet.New()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	var lists []*adopted
	for k := range n {
		a := &adopted{}
		address := fmt.Sprint("peer-", k)
		r := New(Config{
			API: store, Self: platform.Instance{ID: fmt.Sprint("i", k), FailureDomain: "a", PeerAddress: address}, List: a,
			Clock: clock.System{}, Seed: uint64(k), Log: hclog.NewNullLogger(), Peers: net.At(address),
		})
		r.Register(net.At(address))
		running.Go(func() { r.Run(ctx) })
		lists = append(lists, a)
	}
	time.Sleep(5 * time.Second)
	return net, lists
}

// A machine is removed for good and takes nothing back. Callers of its failure domain
// see a part of their requests wait for a home that is not there, as long as its entry
// counts. Two others watch it; the entry goes when it has been silent for goneAfter.
func TestEntryOfADeadInstanceIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net, lists := fleet(t, 8)
		is.Equal(len(lists[0].last()), 8)
		net.SetCut("peer-3", true)
		time.Sleep(goneAfter - sweepInterval)
		is.Equal(len(lists[0].last()), 8)
		time.Sleep(3 * sweepInterval)
		is.Equal(len(lists[0].last()), 7)
	})
}

// An instance is cut off from its peers for longer than goneAfter and not from the
// platform. It loses its entry, must not take away the entries of those it watches,
// though it hears none of them, and is listed again without a restart.
func TestCutOffInstanceRemovesNobodyAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net, lists := fleet(t, 8)
		net.SetCut("peer-3", true)
		seen := 8
		for range 60 {
			time.Sleep(time.Second)
			seen = min(seen, len(lists[0].last()))
		}
		is.Equal(seen, 7)
		net.SetCut("peer-3", false)
		time.Sleep(3 * sweepInterval)
		is.Equal(len(lists[0].last()), 8)
	})
}

// A whole failure domain of a larger fleet is lost. Every one of its entries goes
// although some of its instances were watched by each other.
func TestEntriesOfALostDomainAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net, lists := fleet(t, 12)
		for k := range 4 {
			net.SetCut(fmt.Sprint("peer-", 4+k), true)
		}
		time.Sleep(4 * goneAfter)
		is.Equal(len(lists[0].last()), 8)
	})
}

// putsCounted counts the entries written through it.
type putsCounted struct {
	platform.API
	puts atomic.Int64
}

// Put implements platform.API.
func (p *putsCounted) Put(ctx context.Context, kind platform.Kind, name string, value []byte, ifVersion int64) (platform.Object, error) {
	p.puts.Add(1)
	return p.API.Put(ctx, kind, name, value, ifVersion)
}

// An instance starts and reads the list of instances from a peer that has not heard of it
// yet; its own entry is told a second later. It must not take the entry for removed:
// operators would look for a fault, and each start would cost two calls more.
func TestOwnEntryThatIsToldLateIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := peernet.New()
		other := New(Config{Self: platform.Instance{ID: "i2", PeerAddress: "peer-2"}, Log: hclog.NewNullLogger()})
		other.Register(net.At("peer-2"))
		api := &putsCounted{API: standin.NewStore()}
		r := New(Config{API: api, Self: platform.Instance{ID: "i1", PeerAddress: "peer-1"}, List: &adopted{},
			Clock: clock.System{}, Log: hclog.NewNullLogger(), Peers: net.At("peer-1")})
		r.Register(net.At("peer-1"))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r.keep(ctx)
		}()
		entry := func(id, address string) platform.Object {
			value, err := json.Marshal(platform.Instance{ID: id, PeerAddress: address})
			is.NoErr(err)
			return platform.Object{Name: id, Value: value}
		}
		r.Listed([]platform.Object{entry("i2", "peer-2")})
		time.Sleep(time.Second)
		r.Changed([]platform.Object{entry("i1", "peer-1")})
		time.Sleep(time.Minute)
		is.Equal(api.puts.Load(), int64(0))
		r.Changed([]platform.Object{{Name: "i1", Removed: true}})
		time.Sleep(time.Minute)
		is.Equal(api.puts.Load(), int64(1))
		cancel()
		<-ended
	})
}
