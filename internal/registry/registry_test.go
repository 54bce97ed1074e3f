package registry

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// instanceRecorder records the last list.
type instanceRecorder struct {
	mu   sync.Mutex
	list []platform.Instance
}

// SetInstances implements InstanceSink.
func (a *instanceRecorder) SetInstances(list []platform.Instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = list
}

// last returns the last list.
func (a *instanceRecorder) last() []platform.Instance {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list
}

func newRegistry(store platform.API, id, address string) (*Registry, *instanceRecorder) {
	recorder := &instanceRecorder{}
	return New(Config{
		API: store, Self: platform.Instance{ID: id, FailureDomain: "a", PeerAddress: address}, InstanceSink: recorder,
		Clock: clock.System{}, Seed: 1, Log: hclog.NewNullLogger(),
	}), recorder
}

// Two instances start. For the first one, an earlier process has left an entry with another
// address, and a third entry cannot be decoded. Each must list the two instances; after one
// stops, only the other is listed.
func TestInstancesLearnOfEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := standin.NewStore()
		old, _ := json.Marshal(platform.Instance{ID: "i1", PeerAddress: "10.0.0.9:1"})
		_, err := store.Put(t.Context(), platform.KindInstances, "i1", old, 0)
		is.NoErr(err)
		_, err = store.Put(t.Context(), platform.KindInstances, "odd", []byte("{"), 0)
		is.NoErr(err)
		first, firstList := newRegistry(store, "i1", "10.0.0.1:1")
		second, secondList := newRegistry(store, "i2", "10.0.0.2:1")
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{}, 2)
		for _, r := range []*Registry{first, second} {
			go func() {
				r.Run(ctx)
				done <- struct{}{}
			}()
		}
		time.Sleep(3 * time.Second)
		is.Equal(len(firstList.last()), 2)
		is.Equal(firstList.last(), secondList.last())
		is.Equal(firstList.last()[0].PeerAddress, "10.0.0.1:1")
		is.NoErr(second.RemoveOwnEntry(t.Context()))
		time.Sleep(3 * time.Second)
		is.Equal(len(firstList.last()), 1)
		cancel()
		<-done
		<-done
	})
}

// The platform is down when the instance starts. The instance must keep trying to write its
// entry until the platform is back.
func TestStartDuringPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := standin.NewStore()
		store.SetFaults(standin.Faults{Outage: true})
		r, list := newRegistry(store, "i1", "10.0.0.1:1")
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Run(ctx)
		}()
		time.Sleep(5 * time.Second)
		is.Equal(len(list.last()), 0)
		is.True(errors.Is(r.RemoveOwnEntry(t.Context()), platform.ErrUnavailable))
		store.SetFaults(standin.Faults{})
		time.Sleep(5 * time.Second)
		is.Equal(len(list.last()), 1)
		cancel()
		<-done
	})
}
