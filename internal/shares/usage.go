package shares

import "time"

// peakWindow is the window for peak usage. A peak covers the current window and the one
// before it, so between one window and two. The window prevents capacity from moving back
// and forth between instances whose load varies from second to second.
const peakWindow = 3 * time.Second

// usage tracks how much of a resource is needed.
type usage struct {
	// previousPeak and currentPeak are the peaks of the last complete window and of the
	// current one.
	previousPeak, currentPeak int
	windowStart               time.Time
	// samplesWithWaiters counts consecutive samples with waiting requests.
	samplesWithWaiters int
	waiting            int
}

// addSample records one sample.
func (u *usage) addSample(now time.Time, inUse, waiting int) {
	if now.Sub(u.windowStart) >= peakWindow {
		u.previousPeak, u.currentPeak, u.windowStart = u.currentPeak, 0, now
	}
	u.currentPeak = max(u.currentPeak, inUse+waiting)
	u.waiting = waiting
	if waiting == 0 {
		u.samplesWithWaiters = 0
		return
	}
	u.samplesWithWaiters++
}

// peak returns the recent peak of units in use and waiting requests.
func (u *usage) peak() int { return max(u.previousPeak, u.currentPeak) }

// noneWaiting reports whether no request was waiting in the last sample.
func (u *usage) noneWaiting() bool { return u.waiting == 0 }

// shortage returns how much more is needed now. It is zero unless requests wait in
// several consecutive samples, because a brief queue ends sooner than a loan takes.
func (u *usage) shortage() int {
	if u.samplesWithWaiters < minSamplesWithWaiters {
		return 0
	}
	return min(u.waiting, maxBorrow)
}

const (
	// minSamplesWithWaiters is how many consecutive samples with waiters make a
	// shortage.
	minSamplesWithWaiters = 2
	// maxBorrow limits how many units of a resource one call asks for.
	maxBorrow = 4
)
