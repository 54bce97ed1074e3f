package memberhealth

import (
	"sync"
	"time"
)

const (
	// failureThreshold is the number of consecutive failed reads after which a member is
	// avoided; single reads occasionally fail at any member.
	failureThreshold = 3
	// minFailureBackoff is how long a member is avoided at first. The time doubles with each
	// further failed read, up to MaxFailureBackoff, so that a recovered member is soon used again.
	minFailureBackoff = 250 * time.Millisecond
	// MaxFailureBackoff is the longest time for which a member is avoided after a failed read.
	MaxFailureBackoff = 4 * time.Second
)

// FailingMembers records members at which reads fail.
//
// It handles a member that looks healthy but answers every read with an error immediately. Such a
// member is the least busy one, so load-based placement sends it more and more reads. Without this
// record, each of these reads would be retried at another member until the retry budget is
// exhausted, and callers would then be refused reads that the two other members could serve.
type FailingMembers struct {
	mu      sync.Mutex
	members map[string]*memberFailures
}

// memberFailures is the failure state of one member.
type memberFailures struct {
	consecutive  int
	avoidedUntil time.Time
	backoff      time.Duration
}

// NewFailingMembers returns an empty record.
func NewFailingMembers() *FailingMembers {
	return &FailingMembers{members: make(map[string]*memberFailures)}
}

// RecordFailure records that a read failed at a member.
func (f *FailingMembers) RecordFailure(address string, now time.Time) {
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
	m.backoff = min(max(2*m.backoff, minFailureBackoff), MaxFailureBackoff)
	m.avoidedUntil = now.Add(m.backoff)
}

// RecordSuccess records that a member served a read.
func (f *FailingMembers) RecordSuccess(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.members, address)
}

// IsAvoided reports whether reads currently avoid a member.
func (f *FailingMembers) IsAvoided(address string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[address]
	return m != nil && now.Before(m.avoidedUntil)
}
