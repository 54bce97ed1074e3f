package quota

import (
	"math"
	"time"
)

const (
	// demandMemory is the averaging window of a limiter's demand by rank. The reserve
	// covers what arrives in one window faster than the refill.
	demandMemory = 250 * time.Millisecond
	// peakMemory is the time in which the reserve shrinks to 1/e of its size after a peak. Kept
	// tokens cost less urgent ranks their number once, and nothing of the refill.
	peakMemory = 5 * time.Second
	// peakMargin is the reserve over the recent peak. The next peak may be higher.
	peakMargin = 1.5
	// maxReserve bounds the reserve, as a fraction of the bucket. After a return of all callers, the
	// bucket is empty and the peak high, and less urgent ranks would wait until it is full.
	maxReserve = 0.25
	// minReserve is the number of tokens below which nothing is kept.
	minReserve = 0.25
	// scarcityMemory is how long after a refusal a workspace counts as limited. Instances ask a
	// limiter that refused them again within maxLimiterBackoff.
	scarcityMemory = 500 * time.Millisecond
	// maxStatedDemand bounds the operations that one request adds to the demand of a rank, so
	// that a wrong count does not keep less urgent ranks from their tokens.
	maxStatedDemand = 1000
	// trendMemory is the averaging window of the demand that retry-afters are computed from. A few
	// operations at once do not mean that a small bucket leaves nothing to less urgent ranks.
	trendMemory = 2 * time.Second
	// noProspectRetryAfter is the retry-after of callers whose rank can expect no tokens. It lies
	// beyond the usual deadline of a request, so that they can give up.
	noProspectRetryAfter = 5 * time.Second
)

// reserve decides how much of a bucket is kept for operations that are more urgent than the one
// that asks. It is zero unless an operation was refused recently, and follows the recent peak of
// the arrivals of the more urgent ranks. It does no I/O.
type reserve struct {
	// rates is the average rate of operations that ask for a token, per second, by rank.
	rates [rankSlots]float64
	// trend is the same average over trendMemory.
	trend [rankSlots]float64
	// peaks is the recent maximum of the operations in demandMemory, by rank.
	peaks       [rankSlots]float64
	updatedAt   time.Time
	scarceUntil time.Time
	// nextRetryAt is the retry time given to the last refused caller, by rank.
	nextRetryAt [rankSlots]time.Time
}

// recordDemand adds operations that ask for a token.
func (r *reserve) recordDemand(rank Rank, n int, now time.Time) {
	r.decay(now)
	r.rates[rank] += float64(min(n, maxStatedDemand)) / demandMemory.Seconds()
	r.trend[rank] += float64(min(n, maxStatedDemand)) / trendMemory.Seconds()
	r.peaks[rank] = max(r.peaks[rank], r.rates[rank]*demandMemory.Seconds())
}

// decay ages the averages to the current time.
func (r *reserve) decay(now time.Time) {
	elapsed := now.Sub(r.updatedAt)
	if elapsed <= 0 {
		return
	}
	rateFactor := math.Exp(-elapsed.Seconds() / demandMemory.Seconds())
	trendFactor := math.Exp(-elapsed.Seconds() / trendMemory.Seconds())
	peakFactor := math.Exp(-elapsed.Seconds() / peakMemory.Seconds())
	for rank := range r.rates {
		r.rates[rank] *= rateFactor
		r.trend[rank] *= trendFactor
		r.peaks[rank] *= peakFactor
	}
	r.updatedAt = now
}

// recordRefusal records that an operation got no token.
func (r *reserve) recordRefusal(now time.Time) { r.scarceUntil = now.Add(scarcityMemory) }

// scarce reports whether operations were refused recently.
func (r *reserve) scarce(now time.Time) bool { return now.Before(r.scarceUntil) }

// moreUrgentRate returns the recent rate of the operations that are more urgent than rank.
func (r *reserve) moreUrgentRate(rank Rank) float64 {
	sum := 0.0
	for other := MostUrgent; other < rank; other++ {
		sum += r.trend[other]
	}
	return sum
}

// moreUrgentPeak returns how many tokens the operations that are more urgent than rank may need at
// once; zero if there are hardly any.
func (r *reserve) moreUrgentPeak(rank Rank) float64 {
	sum := 0.0
	for other := MostUrgent; other < rank; other++ {
		sum += r.peaks[other] * peakMargin
	}
	if sum < minReserve {
		return 0
	}
	return sum
}

// tokensKeptFrom returns how many tokens of a bucket an operation of the rank must leave. It is
// a fraction of the bucket, and leaves at least one token of a full one to any rank.
func (r *reserve) tokensKeptFrom(rank Rank, now time.Time, s bucketSize) float64 {
	if !r.scarce(now) {
		return 0
	}
	r.decay(now)
	return max(min(r.moreUrgentPeak(rank), s.depth*maxReserve, s.depth-1), 0)
}

// reserveRetry returns the retry-after of the next n refused callers of a rank. They are spread
// over the tokens that more urgent ranks are expected to leave.
func (r *reserve) reserveRetry(rank Rank, n int, now time.Time, s bucketSize) time.Duration {
	r.decay(now)
	expected := s.rate - r.moreUrgentRate(rank)
	if expected <= 0 {
		return noProspectRetryAfter
	}
	next, latest := &r.nextRetryAt[rank], now.Add(maxRetryAfter)
	if next.Before(now) {
		*next = now
	}
	wait := min(float64(n)/expected, maxRetryAfter.Seconds())
	*next = next.Add(time.Duration(wait * float64(time.Second)))
	if next.After(latest) {
		*next = latest
	}
	return max(next.Sub(now), minRetryAfter)
}
