package quota

import (
	"time"

	"github.com/topazrock/topazrock/internal/workspace"
)

// bucket is a token bucket over a fraction of a limit. It starts empty because the operations
// that began before it existed are unknown.
type bucket struct {
	level     float64
	updatedAt time.Time
	// nextRetryAt is the retry time given to the last refused caller.
	nextRetryAt time.Time
	// reserve is used only if operations have ranks.
	reserve reserve
}

// bucketSize is the refill rate per second and the capacity of a bucket.
type bucketSize struct {
	rate  float64
	depth float64
}

// newBucketSize returns the size of a bucket over a fraction of a limit.
func newBucketSize(fraction float64, l workspace.Limit, t Tolerance) bucketSize {
	return bucketSize{rate: fraction * l.Rate, depth: fraction * t.totalDepth(l)}
}

// refill adds the tokens that accrued since the last call.
func (b *bucket) refill(now time.Time, s bucketSize) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 && !b.updatedAt.IsZero() {
		b.level += s.rate * elapsed.Seconds()
	}
	b.updatedAt = now
	b.level = min(b.level, s.depth)
}

// addTokens adds tokens that were returned, or that accrued while a share was not leased.
func (b *bucket) addTokens(tokens float64, s bucketSize) { b.level = min(b.level+tokens, s.depth) }

// takeTokens takes up to n tokens and returns how many it took.
func (b *bucket) takeTokens(n int) int {
	taken := min(n, int(b.level))
	if taken <= 0 {
		return 0
	}
	b.level -= float64(taken)
	return taken
}

// takeTokensAbove takes up to n tokens, leaves kept tokens in the bucket, and returns how many it
// took.
func (b *bucket) takeTokensAbove(kept float64, n int) int {
	return b.takeTokens(min(n, int(b.level-kept)))
}

const (
	// minRetryAfter and maxRetryAfter bound the retry-after of a refused caller.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// reserveRetry returns the retry-after for the next n refused callers. Each caller's retry time
// is one token's refill time after the previous one's, so that they do not all retry at
// once, only to be refused again.
func (b *bucket) reserveRetry(n int, now time.Time, s bucketSize) time.Duration {
	if b.nextRetryAt.Before(now) {
		b.nextRetryAt = now
	}
	if s.rate <= 0 {
		return maxRetryAfter
	}
	b.nextRetryAt = b.nextRetryAt.Add(time.Duration(float64(n) / s.rate * float64(time.Second)))
	if latest := now.Add(maxRetryAfter); b.nextRetryAt.After(latest) {
		b.nextRetryAt = latest
	}
	return max(b.nextRetryAt.Sub(now), minRetryAfter)
}
