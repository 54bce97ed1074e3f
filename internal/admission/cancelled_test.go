package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A request is cancelled at the moment at which it is granted the slot. Guards against a slot
// that counts as in flight after its end: the gate then admits one request less for good.
func TestCancelledGrantIsNotInFlight(t *testing.T) {
	// Whether the grant or the cancellation comes first differs between rounds.
	const rounds = 50
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newController(1)
			release := mustEnter(t, c, Request{Class: "lookup"})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				if slot, err := c.Acquire(ctx, Request{Class: "lookup", Deadline: time.Now().Add(time.Minute)}); err == nil {
					slot.Release()
				}
			}()
			synctest.Wait()
			cancel()
			release()
			synctest.Wait()
			is.Equal(c.Stats().Running, 0)
			is.Equal(c.inFlight, 0)
		})
	}
}
