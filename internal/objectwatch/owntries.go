package objectwatch

import (
	"sync"
	"time"
)

// ownPause is the time between two calls of a follower to the platform itself while its
// readers do not serve it and the platform does not either. Readers try about once a second
// for all.
const ownPause = 4 * time.Second

// ownTries bounds how often a follower without readers asks the platform itself.
//
// The load pattern is a platform that is down or refuses calls: the readers have lost it,
// and without a bound each of hundreds of followers would try once a second for each kind.
// Where the platform does answer, a follower that has lost its readers is not held back.
type ownTries struct {
	mu   sync.Mutex
	next time.Time
}

// allowed reports whether the platform may be asked now.
func (t *ownTries) allowed(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.next)
}

// failed notes that it did not answer; pause is the time until it may be asked again.
func (t *ownTries) failed(now time.Time, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = now.Add(pause)
}
