package clock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// suspendedClock is a clock of a machine that was suspended.
type suspendedClock struct {
	System
	suspended *time.Duration
}

// SinceBoot implements BootClock.
func (c suspendedClock) SinceBoot() time.Duration { return *c.suspended }

// Guards against a right that is still used after a suspension in which it has ended.
func TestStopwatchCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		suspended := time.Hour
		s := StartStopwatch(suspendedClock{suspended: &suspended})
		time.Sleep(time.Second)
		is.Equal(s.Elapsed(), time.Second)
		suspended += 6 * time.Second
		is.Equal(s.Elapsed(), 6*time.Second)
		time.Sleep(9 * time.Second)
		is.Equal(s.Elapsed(), 10*time.Second)
	})
}

// Guards against a clock of the system that does not advance.
func TestSystemCountsTimeSinceBoot(t *testing.T) {
	is := is.New(t)
	first := System{}.SinceBoot()
	time.Sleep(time.Millisecond)
	is.True(first > 0)
	is.True(System{}.SinceBoot() > first)
}
