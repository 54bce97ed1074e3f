package executor

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
)

// countingClock counts the timers that are created.
type countingClock struct {
	clock.System
	timers *atomic.Int64
}

// NewTimer implements clock.Clock.
func (c countingClock) NewTimer(d time.Duration) *time.Timer {
	c.timers.Add(1)
	return c.System.NewTimer(d)
}

// An instance is home to dozens of groups, most of which are idle. None of them may wake it up:
// on a small machine the wake-ups of idle groups would leave little CPU time for the active
// ones.
func TestIdleGroupCreatesNoTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
		var timers atomic.Int64
		g.Clock = countingClock{timers: &timers}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			g.Run(ctx)
		}()
		time.Sleep(time.Minute)
		is.New(t).Equal(timers.Load(), int64(0))
		cancel()
		<-done
	})
}
