// Package clock abstracts the time source of code that makes time-dependent decisions.
//
// Such code takes a Clock and does not call the time package's functions for the current
// time or for timers. Production uses System. Tests run System inside a testing/synctest
// bubble, where the same code sees virtual time.
package clock

import "time"

// Clock returns the current time and creates timers.
type Clock interface {
	// Now returns the current time with a monotonic clock reading.
	Now() time.Time
	// NewTimer returns a timer that fires once after d.
	NewTimer(d time.Duration) *time.Timer
	// AfterFunc calls f in its own goroutine after d, unless the timer is stopped.
	AfterFunc(d time.Duration, f func()) *time.Timer
}

// System is the Clock of the operating system.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// NewTimer implements Clock.
func (System) NewTimer(d time.Duration) *time.Timer { return time.NewTimer(d) }

// AfterFunc implements Clock.
func (System) AfterFunc(d time.Duration, f func()) *time.Timer { return time.AfterFunc(d, f) }
