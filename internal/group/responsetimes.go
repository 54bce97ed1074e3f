package group

import "time"

const (
	// responseTimeCount is the number of recent answers that are kept.
	responseTimeCount = 8
	// timeoutFactor is the timeout as a multiple of the slowest of these answers.
	timeoutFactor = 3
	// maxTimeoutFactor limits the timeout to a multiple of the minimum, and
	// initialTimeoutFactor is the multiple used before the first answer.
	maxTimeoutFactor     = 20
	initialTimeoutFactor = 4
)

// responseTimes derives query timeouts from a member's recent response times. A member
// that is distant or under load answers late but reliably; with a fixed timeout it would
// be considered lost and replaced, and then its successor too.
type responseTimes struct {
	last [responseTimeCount]time.Duration
	next int
	seen bool
}

// record adds the response time of a successful query.
func (r *responseTimes) record(duration time.Duration) {
	r.last[r.next] = duration
	r.next = (r.next + 1) % responseTimeCount
	r.seen = true
}

// timeout returns the timeout of the next query, which is at least minimum.
func (r *responseTimes) timeout(minimum time.Duration) time.Duration {
	if !r.seen {
		return initialTimeoutFactor * minimum
	}
	slowest := time.Duration(0)
	for _, d := range r.last {
		slowest = max(slowest, d)
	}
	return min(max(minimum, timeoutFactor*slowest), maxTimeoutFactor*minimum)
}

// fastest returns the shortest of the recent response times: the latency to the member
// without the effect of momentary load.
func (r *responseTimes) fastest() time.Duration {
	fastest := r.last[0]
	for _, d := range r.last {
		if d > 0 && (fastest == 0 || d < fastest) {
			fastest = d
		}
	}
	return fastest
}
