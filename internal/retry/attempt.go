package retry

import "time"

// Attempt describes a failed attempt.
type Attempt struct {
	// Number counts the attempts of a request, starting at 1.
	Number int
	Reason Reason
	// RetryAfter is the minimum pause that the failure requested; it may be zero.
	RetryAfter time.Duration
	// Deadline is the caller's deadline.
	Deadline time.Time
}
