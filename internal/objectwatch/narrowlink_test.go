package objectwatch

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

// narrowLinks simulates the instances' network links. Each link sends one response at a time, at
// narrowLinkRate.
type narrowLinks struct {
	mu        sync.Mutex
	busyUntil map[string]time.Time
	sent      map[string]int
}

// send queues a number of bytes on an instance's link and returns the time at which the transfer
// ends.
func (l *narrowLinks) send(address string, bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := time.Now()
	if l.busyUntil[address].After(from) {
		from = l.busyUntil[address]
	}
	l.busyUntil[address] = from.Add(time.Duration(float64(bytes) / narrowLinkRate * float64(time.Second)))
	l.sent[address] += bytes
	return l.busyUntil[address]
}

// narrowCaller delays each response by its transfer over the sender's narrow link.
type narrowCaller struct {
	peer.Caller
	links    *narrowLinks
	received *receivedBytes
}

// receivedBytes counts the bytes that an instance received.
type receivedBytes struct{ n atomic.Int64 }

// Call implements peer.Caller.
func (c narrowCaller) Call(ctx context.Context, address, method string, params, reply any) error {
	if err := c.Caller.Call(ctx, address, method, params, reply); err != nil {
		return err
	}
	text, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	c.received.n.Add(int64(len(text)))
	timer := time.NewTimer(time.Until(c.links.send(address, len(text))))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Load pattern: a fleet starts, and a hundred instances of a failure domain need a large
// manifest at once over links of 10 Mbit/s. Guards against readers that send the manifest to all
// instances, and again to each one that timed out.
func TestLargeManifestReachesAWholeDomainOverNarrowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newTestDomain(100)
		_, err := d.store.Put(context.Background(), platform.KindUpstreams, "m", largeValue(1), 0)
		is.NoErr(err)
		l := &narrowLinks{busyUntil: make(map[string]time.Time), sent: make(map[string]int)}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		start := time.Now()
		d.fleetKnownAt = start.Add(newFleetWait)
		for k, i := range d.instances {
			f := d.newFollower(k, i.view, 0, 0)
			s := f.API.(*SharedAPI).sharing
			s.Caller = narrowCaller{s.Caller, l, &receivedBytes{}}
			running.Go(func() { f.Run(ctx) })
		}
		for known := 0; known < len(d.instances); {
			time.Sleep(100 * time.Millisecond)
			known = 0
			for _, i := range d.instances {
				if i.knows("m") {
					known++
				}
			}
			if time.Since(start) > 20*time.Second {
				t.Fatalf("%d of %d instances have the manifest after 20 s", known, len(d.instances))
			}
		}
		most := 0
		for _, n := range l.sent {
			most = max(most, n)
		}
		t.Logf("all instances have the manifest after %v; at most %d bytes sent by one", time.Since(start), most)
		is.True(time.Since(start) <= 5*time.Second)
		is.True(most <= 1<<20)
		cancel()
		running.Wait()
	})
}
