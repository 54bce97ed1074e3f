package objectwatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Load pattern: more than half of a failure domain of a hundred instances restarts at the same time, over
// links of 10 Mbit/s on which a list of members takes longer than a short call. Guards against lists from
// the platform for each instance that returns, which saturate its link.
func TestReturningInstancesListFromInstances(t *testing.T) {
	for _, readersReturn := range []bool{false, true} {
		t.Run(fmt.Sprintf("readers return %v", readersReturn), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const n, settled, limit = returningDomain, 8 * time.Second, 8 * time.Second
				d := &entryDomain{testDomain: newTestDomain(n), is: is.New(t), random: rand.New(rand.NewPCG(1, n))}
				for k := range 30 * n {
					d.putEntry(fmt.Sprint("m", k), 0)
				}
				d.fleetKnownAt = time.Now().Add(newFleetWait)
				var running sync.WaitGroup
				ctx, cancel := context.WithCancel(context.Background())
				d.start(ctx, &running)
				time.Sleep(settled)
				const returning = n * 55 / 100
				first := n - returning
				if readersReturn {
					first = 0
				}
				var returned []*countingAPI
				for k := first; k < first+returning; k++ {
					i := d.instances[k]
					i.ApplyList(nil)
					api := &countingAPI{API: i.view}
					f := d.newFollower(k, api, 3*time.Second, 3300*time.Millisecond)
					s := f.API.(*SharedAPI).sharing
					s.Caller = narrowCaller{s.Caller, d.links, &receivedBytes{}}
					returned = append(returned, api)
					running.Go(func() { f.Run(ctx) })
				}
				start := time.Now()
				for known := 0; known < n && time.Since(start) < limit; {
					time.Sleep(50 * time.Millisecond)
					known = 0
					for _, i := range d.instances {
						if i.knows("m1") {
							known++
						}
					}
				}
				took := time.Since(start)
				direct := 0
				for k, api := range returned {
					if first+k >= readersPerDomain && api.calls.Load() > 0 {
						direct++
					}
				}
				t.Logf("all know all after %v, %d of %d followers called the platform", took, direct, len(returned))
				cancel()
				running.Wait()
				d.is.True(took < limit)
				d.is.Equal(direct, 0)
			})
		})
	}
}
