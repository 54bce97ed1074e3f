package objectwatch

import (
	"sync"
	"time"
)

// directCallPause is the longest time between two direct calls of a follower to the platform
// while neither its readers nor the platform serve it. Readers try about once a second on behalf
// of all followers.
const directCallPause = 4 * time.Second

// directCallLimiter limits how often a follower whose readers do not serve it calls the platform
// directly.
//
// It protects a platform that is down or refuses calls: the readers have lost it too, and
// without a limit each of hundreds of followers would try once a second for each kind. A
// follower that has lost its readers is not limited while the platform answers.
type directCallLimiter struct {
	mu          sync.Mutex
	allowedFrom time.Time
}

// allowed reports whether the platform may be called now.
func (l *directCallLimiter) allowed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.allowedFrom)
}

// recordFailure records a failed call. The next one is allowed after pause.
func (l *directCallLimiter) recordFailure(now time.Time, pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowedFrom = now.Add(pause)
}
