package executor

import (
	"sync"
	"time"
)

const (
	// failureThreshold is the number of consecutive failed reads after which a member is
	// avoided; single reads occasionally fail at any member.
	failureThreshold = 3
	// minFailureBackoff is how long a member is avoided at first. The time doubles with each
	// further failed read, up to maxFailureBackoff, so that a recovered member is soon used again.
	minFailureBackoff = 250 * time.Millisecond
	maxFailureBackoff = 4 * time.Second
)

// failingMembers records members at which reads fail.
//
// It handles a member that looks healthy but answers every read with an error immediately. Such a
// member is the least busy one, so load-based placement sends it more and more reads. Without this
// record, each of these reads would be retried at another member until the retry budget is
// exhausted, and callers would then be refused reads that the two other members could serve.
type failingMembers struct {
	mu      sync.Mutex
	members map[string]*memberFailures
}

// memberFailures is the failure state of one member.
type memberFailures struct {
	consecutive  int
	avoidedUntil time.Time
	backoff      time.Duration
}

func newFailingMembers() *failingMembers {
	return &failingMembers{members: make(map[string]*memberFailures)}
}

// recordFailure records that a read failed at a member.
func (f *failingMembers) recordFailure(address string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[address]
	if m == nil {
		m = &memberFailures{}
		f.members[address] = m
	}
	m.consecutive++
	if m.consecutive < failureThreshold || now.Before(m.avoidedUntil) {
		// Reads that were already running when the member was first avoided add no information.
		return
	}
	m.backoff = min(max(2*m.backoff, minFailureBackoff), maxFailureBackoff)
	m.avoidedUntil = now.Add(m.backoff)
}

// recordSuccess records that a member served a read.
func (f *failingMembers) recordSuccess(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.members, address)
}

// isAvoided reports whether reads currently avoid a member.
func (f *failingMembers) isAvoided(address string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[address]
	return m != nil && now.Before(m.avoidedUntil)
}
