package session

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRepeatPause is the longest pause between a refusal and the caller's repetition.
	// The same statement sent later counts as a new operation.
	maxRepeatPause = 2 * time.Second
	// maxOperationTimeouts bounds how long a caller retries one operation, as a multiple of
	// the statement timeout. After that the caller has given up, and the same statement is
	// a new operation.
	maxOperationTimeouts = 4
)

// RepeatDetector recognizes an operation that the caller sends again after a refusal. The
// objective of a repetition is measured from the caller's first try. If a repetition
// counted as a new operation, it would be served before requests that can still meet their
// objective, and the queue of a burst would persist for as long as callers retry.
type RepeatDetector struct {
	// operation is the hash of the first statement of the current operation, and
	// firstTriedAt the time at which the caller first sent it.
	operation    uint64
	firstTriedAt time.Time
	// refusedOperation is the operation refused last, at refusedAt; zero if there is none.
	refusedOperation uint64
	refusedAt        time.Time
}

// BeginOperation starts an operation, given its first statement, and returns the time since the
// caller first tried it. timeout is the statement timeout.
func (r *RepeatDetector) BeginOperation(statement []byte, now time.Time, timeout time.Duration) time.Duration {
	operation := xxhash.Sum64(statement)
	repeated := operation == r.refusedOperation && now.Sub(r.refusedAt) <= maxRepeatPause && now.Sub(r.firstTriedAt) <= maxOperationTimeouts*timeout
	if !repeated {
		r.firstTriedAt = now
	}
	r.operation, r.refusedOperation = operation, 0
	return now.Sub(r.firstTriedAt)
}

// RecordRefusal records that the current operation was refused.
func (r *RepeatDetector) RecordRefusal(now time.Time) {
	r.refusedOperation, r.refusedAt = r.operation, now
}
