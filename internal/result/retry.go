package result

// Retry says whether, and under which condition, a caller may send the same
// request again.
type Retry int

// Conditions for a retry.
const (
	// RetryNever: sending the same request again cannot help.
	RetryNever Retry = iota
	// RetryNow: it is safe to send the request again immediately.
	RetryNow
	// RetryLater: it is safe to send the request again after the retry-after
	// time.
	RetryLater
	// RetryNewKey: it is safe to send the request again with a new request
	// key.
	RetryNewKey
	// RetryAfterCheck: the caller must first find out whether the request ran;
	// otherwise it could run twice.
	RetryAfterCheck
)

// String returns the text shown in docs/RESULT-CODES.md.
func (r Retry) String() string {
	switch r {
	case RetryNow:
		return "yes, at once"
	case RetryLater:
		return "yes, after the retry-after"
	case RetryNewKey:
		return "yes, under a new key"
	case RetryAfterCheck:
		return "only once settled"
	default:
		return "no"
	}
}
