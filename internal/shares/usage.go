package shares

import "time"

// peakWindow is how far back a peak of use reaches: between one window and two.
// It keeps share from going back and forth between homes whose load varies from
// second to second.
const peakWindow = 3 * time.Second

// usage follows how much of a resource is needed.
type usage struct {
	// previous and current are the peaks of the last whole window and this one.
	previous, current int
	began             time.Time
	// short counts consecutive samples with waiters.
	short   int
	waiting int
}

// sample takes in one more observation.
func (u *usage) sample(now time.Time, inUse, waiting int) {
	if now.Sub(u.began) >= peakWindow {
		u.previous, u.current, u.began = u.current, 0, now
	}
	u.current = max(u.current, inUse+waiting)
	u.waiting = waiting
	if waiting == 0 {
		u.short = 0
		return
	}
	u.short++
}

// peak is the most that was needed lately.
func (u *usage) peak() int { return max(u.previous, u.current) }

// quiet reports whether nobody waits.
func (u *usage) quiet() bool { return u.waiting == 0 }

// wanted is how much more is needed now: zero unless callers wait in several
// samples on end, because a moment's queue ends sooner than lending takes.
func (u *usage) wanted() int {
	if u.short < shortSamples {
		return 0
	}
	return min(u.waiting, maxWanted)
}

const (
	// shortSamples is how many samples with waiters make a shortage.
	shortSamples = 2
	// maxWanted bounds what one call asks for.
	maxWanted = 4
)
