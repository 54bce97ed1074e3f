// Package clock is the seam between decision code and time.
//
// Decision code takes a Clock and never calls the time package's functions for
// the present moment or for timers. Production uses System; tests run System
// inside a testing/synctest bubble, where the same code sees virtual time.
package clock

import "time"

// Clock tells the time and makes timers.
type Clock interface {
	// Now returns the present moment with a monotonic reading.
	Now() time.Time
	// NewTimer returns a timer that fires once after d.
	NewTimer(d time.Duration) *time.Timer
	// AfterFunc calls f in its own goroutine after d, unless the timer is stopped.
	AfterFunc(d time.Duration, f func()) *time.Timer
}

// System is the Clock of the running process.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// NewTimer implements Clock.
func (System) NewTimer(d time.Duration) *time.Timer { return time.NewTimer(d) }

// AfterFunc implements Clock.
func (System) AfterFunc(d time.Duration, f func()) *time.Timer { return time.AfterFunc(d, f) }
