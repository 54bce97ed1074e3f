package retry

import "time"

// Attempt describes one that failed.
type Attempt struct {
	// Number counts attempts from 1.
	Number int
	Reason Reason
	// RetryAfter is the shortest pause that the failure asked for; it may be zero.
	RetryAfter time.Duration
	// Deadline is the caller's deadline.
	Deadline time.Time
}
