package session

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// repeatPause is the longest pause between a refusal and the repetition of what was
	// refused. Whoever asks the same later asks anew.
	repeatPause = 2 * time.Second
	// mostTimeouts bounds how long a caller asks for one operation, in times of what one
	// statement may take: past that it has given up, and the same statement is a new one.
	mostTimeouts = 4
)

// Repeats recognises an operation that the caller sends again because it was refused. Its answer
// is wanted as long after the caller's first try as ever. Taken for a new one, each repetition
// would be served before those that can still be in time, and the queue of a burst would outlive
// it by as long as callers repeat.
type Repeats struct {
	// operation is the hash of the present operation's first statement, and since when the
	// caller has asked for it.
	operation uint64
	since     time.Time
	// refused is the operation that was refused last, at refusedAt; zero for none.
	refused   uint64
	refusedAt time.Time
}

// Begin takes the first statement of an operation, and returns how long the caller has asked
// for it already. timeout is what one statement may take.
func (r *Repeats) Begin(statement []byte, now time.Time, timeout time.Duration) time.Duration {
	operation := xxhash.Sum64(statement)
	repeated := operation == r.refused && now.Sub(r.refusedAt) <= repeatPause && now.Sub(r.since) <= mostTimeouts*timeout
	if !repeated {
		r.since = now
	}
	r.operation, r.refused = operation, 0
	return now.Sub(r.since)
}

// Refused notes that the present operation has failed.
func (r *Repeats) Refused(now time.Time) { r.refused, r.refusedAt = r.operation, now }
