package platform

import (
	"fmt"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

// firstEra is the era of a store that has never returned from a copy.
const firstEra = 1

// EraTracker holds the latest era of the platform's store that this instance has seen.
//
// The store begins an era when it returns from an older copy: whatever was written after the copy
// is lost, and the numbers of those revisions are given out again. What was read or acknowledged
// in an earlier era therefore proves nothing about the present store. EraTracker decides which
// calls and responses a return makes invalid. It is safe for concurrent use.
type EraTracker struct {
	clock clock.Clock

	mu          sync.Mutex
	latest      int64
	since       time.Time
	changed     chan struct{}
	subscribers []func(previous, latest int64)
}

// NewEraTracker returns a tracker that has not seen any era.
func NewEraTracker(c clock.Clock) *EraTracker {
	return &EraTracker{clock: c, changed: make(chan struct{})}
}

// Latest returns the latest era; zero if none is known.
func (t *EraTracker) Latest() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}

// ReturnedAt returns when this instance learned that the store returned from a copy, at the latest;
// the zero time if it never did, as far as this instance can tell. An instance that starts learns
// it from any era beyond the first.
func (t *EraTracker) ReturnedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest <= firstEra {
		return time.Time{}
	}
	return t.since
}

// Changed returns a channel that is closed when a later era is observed.
func (t *EraTracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Subscribe registers f to be called when a later era is observed. The first era has the
// previous one zero. f must not block.
func (t *EraTracker) Subscribe(f func(previous, latest int64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers = append(t.subscribers, f)
}

// Observe records the era of a response.
func (t *EraTracker) Observe(era int64) {
	t.mu.Lock()
	if era <= t.latest {
		t.mu.Unlock()
		return
	}
	previous := t.latest
	t.latest, t.since = era, t.clock.Now()
	close(t.changed)
	t.changed = make(chan struct{})
	subscribers := t.subscribers
	t.mu.Unlock()
	for _, f := range subscribers {
		f(previous, era)
	}
}

// CheckWatch returns ErrCompacted if a watch from a revision would miss changes because the
// revision belongs to an earlier era.
func (t *EraTracker) CheckWatch(after Revision) error {
	if after.Era() < t.Latest() {
		return fmt.Errorf("%w: it belongs to an earlier era of the store", ErrCompacted)
	}
	return nil
}

// CheckWatchResponse returns ErrCompacted if a watch from a revision was answered in another era.
func (t *EraTracker) CheckWatchResponse(after Revision, era int64) error {
	if era != after.Era() {
		return fmt.Errorf("%w: the store answered in another era", ErrCompacted)
	}
	return t.CheckWatch(after)
}

// CheckRead returns ErrUnavailable if a response to a read belongs to an earlier era: it arrived
// late, and the store may no longer have what it shows.
func (t *EraTracker) CheckRead(era int64) error {
	if era < t.Latest() {
		return fmt.Errorf("%w: late response of an earlier era of the store", ErrUnavailable)
	}
	return nil
}

// CheckChange returns ErrConflict if a change is conditional on a revision of an earlier era: the
// same number may now belong to another value.
func (t *EraTracker) CheckChange(ifRevision Revision) error {
	if ifRevision != 0 && ifRevision.Era() < t.Latest() {
		return fmt.Errorf("%w: the required revision belongs to an earlier era of the store", ErrConflict)
	}
	return nil
}

// CheckChangeResponse returns ErrOutcomeUnknown if a change was made in another era than that of
// the revision it was conditional on, and so may have replaced another value, or in an earlier
// era than the latest, and so may be lost.
func (t *EraTracker) CheckChangeResponse(ifRevision Revision, era int64) error {
	if era < t.Latest() || ifRevision != 0 && ifRevision.Era() != era {
		return fmt.Errorf("%w: the store returned from a copy meanwhile", ErrOutcomeUnknown)
	}
	return nil
}
