package registry

import (
	"context"
	"fmt"
	"sync"
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

// Guards against an instance that is taken for dead, and stays unlisted for seconds, because the
// platform returned from a copy that is older than its entry.
func TestEntriesLostInAReturnStayListedAndAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, net := standin.NewStore(), peernet.New()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var lists []*instanceRecorder
		start := func(k int) {
			recorder, address := &instanceRecorder{}, fmt.Sprint("peer-", k)
			r := New(Config{
				API: standin.NewView(store), Self: platform.Instance{ID: fmt.Sprint("i", k), FailureDomain: "a", PeerAddress: address}, InstanceSink: recorder,
				Clock: clock.System{}, Seed: uint64(k), Log: hclog.NewNullLogger(), Peers: net.Endpoint(address),
			})
			r.RegisterHandlers(net.Endpoint(address))
			running.Go(func() { r.Run(ctx) })
			lists = append(lists, recorder)
		}
		for k := range 4 {
			start(k)
		}
		time.Sleep(10 * time.Second)
		start(4)
		time.Sleep(4 * time.Second)
		is.Equal(len(lists[0].last()), 5)

		store.ReturnFromCopy(8 * time.Second)
		objects, _, err := store.List(ctx, platform.KindInstances)
		is.NoErr(err)
		is.Equal(len(objects), 4)
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			for _, l := range lists {
				is.Equal(len(l.last()), 5)
			}
		}
		objects, _, err = store.List(ctx, platform.KindInstances)
		is.NoErr(err)
		is.Equal(len(objects), 5)

		// An instance that died in the meantime does not come back.
		net.SetDisconnected("peer-4", true)
		time.Sleep(4 * removeAfter)
		is.Equal(len(lists[0].last()), 4)
		cancel()
		running.Wait()
	})
}
