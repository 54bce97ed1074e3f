package quota

import (
	"math"
	"time"
)

const (
	// demandWindow is the time over which the demand for a workspace's tokens is averaged.
	demandWindow = time.Second
	// aheadSpan is the time for whose demand tokens are held.
	aheadSpan = 250 * time.Millisecond
	// leastDemand is how many operations a second an instance begins for a workspace before
	// it holds tokens for more.
	leastDemand = 0.5
	// accountLife is how long the account of a workspace without operations is kept.
	accountLife = 10 * time.Second
	// longestRefusal bounds how long a limiter that had no token is not asked again.
	longestRefusal = 100 * time.Millisecond
)

// account is what one instance holds and knows of a workspace's tokens. It does no I/O.
type account struct {
	tokens int
	// expireAt is when the tokens that came last expire; older ones go with them at the
	// latest.
	expireAt time.Time
	// returned counts tokens to give back.
	returned int
	// demand is the average of operations a second, as of demandAt.
	demand   float64
	demandAt time.Time
	// refusals counts the operations that were refused.
	refusals uint64
	// refusedUntil is until when each limiter that had no token is not asked again, and
	// returnAt when the callers that it refused are to come back.
	refusedUntil map[string]time.Time
	returnAt     map[string]time.Time
}

func newAccount(now time.Time) *account {
	return &account{demandAt: now, refusedUntil: make(map[string]time.Time), returnAt: make(map[string]time.Time)}
}

// note counts an operation.
func (a *account) note(now time.Time) {
	a.decay(now)
	a.demand += 1 / demandWindow.Seconds()
}

// decay ages the demand.
func (a *account) decay(now time.Time) {
	elapsed := now.Sub(a.demandAt)
	a.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	a.demandAt = now
}

// take takes a token that is held.
func (a *account) take(now time.Time) bool {
	a.dropExpired(now)
	if a.tokens == 0 {
		return false
	}
	a.tokens--
	return true
}

// dropExpired gives back the tokens that were held for too long.
func (a *account) dropExpired(now time.Time) {
	if a.tokens > 0 && !now.Before(a.expireAt) {
		a.returned += a.tokens
		a.tokens = 0
	}
}

// add takes in tokens that were asked for at a time. All tokens expire with the oldest.
func (a *account) add(n int, asked time.Time) {
	if n == 0 {
		return
	}
	expire := asked.Add(aheadLife)
	if a.tokens == 0 || expire.Before(a.expireAt) {
		a.expireAt = expire
	}
	a.tokens += n
}

// wanted is how many tokens to ask for ahead.
func (a *account) wanted(now time.Time) int {
	a.decay(now)
	if a.demand < leastDemand {
		return 0
	}
	return max(int(math.Ceil(a.demand*aheadSpan.Seconds()))-a.tokens, 0)
}

// refused notes that a limiter had no token, and when its callers are to come back.
func (a *account) refused(limiter string, returnIn time.Duration, now time.Time) {
	a.refusedUntil[limiter] = now.Add(min(returnIn/2, longestRefusal))
	a.returnAt[limiter] = now.Add(returnIn)
}

// mayAsk reports whether a limiter may have a token again.
func (a *account) mayAsk(limiter string, now time.Time) bool {
	return !now.Before(a.refusedUntil[limiter])
}

// unused reports whether the account can be forgotten.
func (a *account) unused(now time.Time) bool {
	return a.tokens == 0 && a.returned == 0 && a.refusals == 0 && now.Sub(a.demandAt) > accountLife
}
