package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is implemented by a Clock that also counts the time in which the machine was
// suspended. The monotonic clock that Now reads stands still meanwhile.
type BootClock interface {
	// SinceBoot returns the time since the machine was started, suspensions included.
	SinceBoot() time.Duration
}

// SinceBoot implements BootClock.
func (System) SinceBoot() time.Duration {
	var t unix.Timespec
	// This fails only for a clock that the kernel does not have; all kernels that Go supports have this one.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano())
}

// Stopwatch measures time, suspensions of the machine included if its Clock is a BootClock. It is
// for rights that end on other machines while this one is suspended.
type Stopwatch struct {
	clock       Clock
	startedAt   time.Time
	bootAtStart time.Duration
}

// StartStopwatch returns a running Stopwatch.
func StartStopwatch(c Clock) Stopwatch {
	return Stopwatch{clock: c, startedAt: c.Now(), bootAtStart: sinceBoot(c)}
}

// StartedAt returns when the Stopwatch was started.
func (s Stopwatch) StartedAt() time.Time { return s.startedAt }

// Elapsed returns the time since the Stopwatch was started.
func (s Stopwatch) Elapsed() time.Duration {
	return max(s.clock.Now().Sub(s.startedAt), sinceBoot(s.clock)-s.bootAtStart)
}

func sinceBoot(c Clock) time.Duration {
	if b, ok := c.(BootClock); ok {
		return b.SinceBoot()
	}
	return 0
}
