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
	tokens int
	// expiresAt is when the oldest of the tokens expires; all others expire with it.
	expiresAt time.Time
	// tokensToReturn counts tokens to return to a limiter.
	tokensToReturn int
	// demand is the average rate of operations, per second, as of demandAt.
	demand   float64
	demandAt time.Time
	// refusals counts the operations that were refused.
	refusals uint64
	// backoffUntil is, for each limiter that had no token, until when it is not asked again.
	// retryAt is when the limiter told refused callers to retry.
	backoffUntil map[string]time.Time
	retryAt      map[string]time.Time
}

func newAccount(now time.Time) *account {
	return &account{demandAt: now, backoffUntil: make(map[string]time.Time), retryAt: make(map[string]time.Time)}
}

// recordOperation adds an operation to the demand.
func (a *account) recordOperation(now time.Time) {
	a.decayDemand(now)
	a.demand += 1 / demandWindow.Seconds()
}

// decayDemand ages the average to the current time.
func (a *account) decayDemand(now time.Time) {
	elapsed := now.Sub(a.demandAt)
	a.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	a.demandAt = now
}

// takeToken takes a prefetched token and reports whether there was one.
func (a *account) takeToken(now time.Time) bool {
	a.expireTokens(now)
	if a.tokens == 0 {
		return false
	}
	a.tokens--
	return true
}

// expireTokens moves tokens that have reached their lifetime to tokensToReturn.
func (a *account) expireTokens(now time.Time) {
	if a.tokens > 0 && !now.Before(a.expiresAt) {
		a.tokensToReturn += a.tokens
		a.tokens = 0
	}
}

// addTokens adds tokens that were requested at requestedAt. All tokens expire with the oldest.
func (a *account) addTokens(n int, requestedAt time.Time) {
	if n == 0 {
		return
	}
	expiresAt := requestedAt.Add(prefetchLifetime)
	if a.tokens == 0 || expiresAt.Before(a.expiresAt) {
		a.expiresAt = expiresAt
	}
	a.tokens += n
}

// tokensToPrefetch returns how many more tokens the demand of the next prefetchSpan needs.
func (a *account) tokensToPrefetch(now time.Time) int {
	a.decayDemand(now)
	if a.demand < minDemand {
		return 0
	}
	return max(int(math.Ceil(a.demand*prefetchSpan.Seconds()))-a.tokens, 0)
}

// recordRefusal records that a limiter had no token, and when it told callers to retry.
func (a *account) recordRefusal(limiter string, retryAfter time.Duration, now time.Time) {
	a.backoffUntil[limiter] = now.Add(min(retryAfter/2, maxLimiterBackoff))
	a.retryAt[limiter] = now.Add(retryAfter)
}

// mayAskLimiter reports whether the backoff of a limiter that had no token is over.
func (a *account) mayAskLimiter(limiter string, now time.Time) bool {
	return !now.Before(a.backoffUntil[limiter])
}

// unused reports whether the account can be removed. One that counts refusals is kept.
func (a *account) unused(now time.Time) bool {
	return a.tokens == 0 && a.tokensToReturn == 0 && a.refusals == 0 && now.Sub(a.demandAt) > accountLifetime
}
