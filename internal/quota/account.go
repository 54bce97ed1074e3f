package quota

import (
	"math"
	"time"
)

const (
	// demandWindow is the averaging window of the demand for a workspace's tokens.
	demandWindow = time.Second
	// prefetchSpan is the time whose expected demand is covered by prefetched tokens.
	prefetchSpan = 250 * time.Millisecond
	// minDemand is the rate of operations, per second, below which an instance prefetches no
	// tokens for a workspace.
	minDemand = 0.5
	// accountLifetime is how long the account of a workspace without operations is kept.
	accountLifetime = 10 * time.Second
	// maxLimiterBackoff bounds how long a limiter that had no token is not asked again.
	maxLimiterBackoff = 100 * time.Millisecond
)

// account is one instance's state for a workspace: the tokens it holds, the demand, and the
// limiters that refused it. It does no I/O.
type account struct {
	// tokens counts them by the rank of the operations that they were requested for. Without
	// ranks, tokens, demand and refusals are those of LeastUrgent.
	tokens rankCounts
	// expiresAt is when the oldest of the tokens expires; all others expire with it.
	expiresAt time.Time
	// tokensToReturn counts tokens to return to a limiter.
	tokensToReturn int
	// demand is the average rate of operations, per second and by rank, as of demandAt.
	demand   [rankSlots]float64
	demandAt time.Time
	// refusals counts the operations that were refused.
	refusals uint64
	// backoffUntil is, for each limiter that had no token, until when it is not asked again.
	// retryAt is when the limiter told refused callers to retry.
	backoffUntil map[refuser]time.Time
	retryAt      map[refuser]time.Time
	limited      limitedPeriod
}

// refuser is a limiter that refused an operation of a rank.
type refuser struct {
	limiter string
	rank    Rank
}

func newAccount(now time.Time) *account {
	return &account{demandAt: now, backoffUntil: make(map[refuser]time.Time), retryAt: make(map[refuser]time.Time)}
}

// recordOperation adds an operation to the demand.
func (a *account) recordOperation(rank Rank, now time.Time) {
	a.decayDemand(now)
	a.demand[rank] += 1 / demandWindow.Seconds()
}

// decayDemand ages the average to the current time.
func (a *account) decayDemand(now time.Time) {
	elapsed := now.Sub(a.demandAt)
	factor := math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	for rank := range a.demand {
		a.demand[rank] *= factor
	}
	a.demandAt = now
}

// totalDemand returns the demand of all ranks.
func (a *account) totalDemand() float64 {
	sum := 0.0
	for _, rate := range a.demand {
		sum += rate
	}
	return sum
}

// takeToken takes a prefetched token and reports whether there was one. Tokens that were requested
// for more urgent operations are left to them.
func (a *account) takeToken(rank Rank, now time.Time) bool {
	a.expireTokens(now)
	for other := rank; other <= LeastUrgent; other++ {
		if a.tokens[other] > 0 {
			a.tokens[other]--
			return true
		}
	}
	return false
}

// expireTokens moves tokens that have reached their lifetime to tokensToReturn.
func (a *account) expireTokens(now time.Time) {
	if a.tokens.total() > 0 && !now.Before(a.expiresAt) {
		a.tokensToReturn += a.tokens.total()
		a.tokens = rankCounts{}
	}
}

// addTokens adds tokens that were requested at requestedAt. All tokens expire with the oldest.
func (a *account) addTokens(n rankCounts, requestedAt time.Time) {
	if n.total() == 0 {
		return
	}
	expiresAt := requestedAt.Add(prefetchLifetime)
	if a.tokens.total() == 0 || expiresAt.Before(a.expiresAt) {
		a.expiresAt = expiresAt
	}
	for rank := range n {
		a.tokens[rank] += n[rank]
	}
}

// tokensToPrefetch returns how many more tokens the demand of the next prefetchSpan needs.
func (a *account) tokensToPrefetch(now time.Time) rankCounts {
	a.decayDemand(now)
	var n rankCounts
	for rank, rate := range a.demand {
		if rate >= minDemand {
			n[rank] = max(int(math.Ceil(rate*prefetchSpan.Seconds()))-a.tokens[rank], 0)
		}
	}
	return n
}

// mayPrefetch reports whether tokens are to be prefetched from a limiter.
func (a *account) mayPrefetch(limiter string, now time.Time) bool {
	for rank, n := range a.tokensToPrefetch(now) {
		if n > 0 && a.mayAskLimiter(limiter, Rank(rank), now) {
			return true
		}
	}
	return false
}

// recordRefusal records that a limiter had no token, and when it told callers to retry.
func (a *account) recordRefusal(limiter string, rank Rank, retryAfter time.Duration, now time.Time) {
	a.backoffUntil[refuser{limiter, rank}] = now.Add(min(retryAfter/2, maxLimiterBackoff))
	a.retryAt[refuser{limiter, rank}] = now.Add(retryAfter)
}

// mayAskLimiter reports whether the backoff of a limiter that had no token is over. A limiter that
// has none for a rank has none for the less urgent ones, but may have some for the more urgent.
func (a *account) mayAskLimiter(limiter string, rank Rank, now time.Time) bool {
	for other := MostUrgent; other <= rank; other++ {
		if now.Before(a.backoffUntil[refuser{limiter, other}]) {
			return false
		}
	}
	return true
}

// earliestRetry returns how long until the earliest retry time that a limiter gave to operations of
// the rank or, if there is none, to more urgent ones; zero if there is none either.
func (a *account) earliestRetry(rank Rank, now time.Time) time.Duration {
	for other := rank; other >= MostUrgent; other-- {
		earliest := time.Duration(0)
		for refusedBy, retryAt := range a.retryAt {
			if wait := retryAt.Sub(now); refusedBy.rank == other && wait > 0 && (earliest == 0 || wait < earliest) {
				earliest = wait
			}
		}
		if earliest > 0 {
			return earliest
		}
	}
	return 0
}

// unused reports whether the account can be removed. One that counts refusals is kept.
func (a *account) unused(now time.Time) bool {
	return a.tokens.total() == 0 && a.tokensToReturn == 0 && a.refusals == 0 && a.limited.beganAt.IsZero() && now.Sub(a.demandAt) > accountLifetime
}
