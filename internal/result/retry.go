package result

// Retry tells whether a caller may send the same request again.
type Retry int

// Kinds of retry.
const (
	// RetryNever: sending the same again cannot help.
	RetryNever Retry = iota
	// RetryNow: sending again at once is without risk.
	RetryNow
	// RetryLater: sending again is without risk, after the retry-after.
	RetryLater
	// RetryNewKey: sending again is without risk under a new request key.
	RetryNewKey
	// RetrySettle: sending again could run the request twice until the caller
	// has found out what became of it.
	RetrySettle
)

// String returns the wording of the result code page.
func (r Retry) String() string {
	switch r {
	case RetryNow:
		return "yes, at once"
	case RetryLater:
		return "yes, after the retry-after"
	case RetryNewKey:
		return "yes, under a new key"
	case RetrySettle:
		return "only once settled"
	default:
		return "no"
	}
}
