package executor

import (
	"sync"
	"time"
)

const (
	// failingAfter is how many reads in a row must have failed at a member for it to be
	// passed by: one fails now and then at any member.
	failingAfter = 3
	// failingFirst is how long it is passed by then; the time doubles with each read that
	// fails behind it, up to failingMost, so that one that recovers is soon asked again.
	failingFirst = 250 * time.Millisecond
	failingMost  = 4 * time.Second
)

// failing remembers members at which reads fail.
//
// The load pattern is a member that looks healthy and answers every read with an error at
// once. It is then the least busy, so that placing by load sends it ever more reads: each is
// tried elsewhere behind it, until the budget for retries is used up and callers are refused
// what two other members could serve.
type failing struct {
	mu      sync.Mutex
	members map[string]*failures
}

// failures are those of one member.
type failures struct {
	inRow int
	until time.Time
	pause time.Duration
}

func newFailing() *failing { return &failing{members: make(map[string]*failures)} }

// failed notes that a read failed at a member.
func (f *failing) failed(address string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[address]
	if m == nil {
		m = &failures{}
		f.members[address] = m
	}
	m.inRow++
	if m.inRow < failingAfter || now.Before(m.until) {
		// Reads that were under way when it was first passed by say nothing new.
		return
	}
	m.pause = min(max(2*m.pause, failingFirst), failingMost)
	m.until = now.Add(m.pause)
}

// served notes that a member served a read.
func (f *failing) served(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.members, address)
}

// at reports whether a member is passed by.
func (f *failing) at(address string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[address]
	return m != nil && now.Before(m.until)
}
