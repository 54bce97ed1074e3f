package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tokens that are used after their lifetime, in a later window.
func TestPrefetchedTokensExpire(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	a := newAccount(now)
	a.addTokens(3, now)
	is.True(a.takeToken(now.Add(prefetchLifetime - time.Millisecond)))
	is.True(!a.takeToken(now.Add(prefetchLifetime)))
	is.Equal(a.tokensToReturn, 2)
}

// Guards against tokens that extend the lifetime of older ones.
func TestAllTokensExpireWithTheOldest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	a := newAccount(now)
	a.addTokens(1, now)
	a.addTokens(1, now.Add(time.Second))
	is.True(!a.takeToken(now.Add(prefetchLifetime)))
}

// One workspace has few operations at an instance, and another has many. Guards against
// prefetching tokens for operations that do not come.
func TestPrefetchFollowsDemand(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	rare, frequent := newAccount(now), newAccount(now)
	for n := range 400 {
		at := now.Add(time.Duration(n) * 10 * time.Millisecond)
		frequent.recordOperation(at)
		if n%300 == 0 {
			rare.recordOperation(at)
		}
	}
	end := now.Add(4 * time.Second)
	is.Equal(rare.tokensToPrefetch(end), 0)
	is.True(frequent.tokensToPrefetch(end) >= 20 && frequent.tokensToPrefetch(end) <= 30)
	is.Equal(frequent.tokensToPrefetch(end.Add(accountLifetime)), 0)
}

// Guards against two faults: a limiter without tokens is asked again for each operation of a
// hot workspace, or is never asked again.
func TestRefusingLimiterIsNotAskedAgainAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	a := newAccount(now)
	a.recordRefusal("l", time.Second, now)
	is.True(!a.mayAskLimiter("l", now.Add(maxLimiterBackoff-time.Millisecond)))
	is.True(a.mayAskLimiter("l", now.Add(maxLimiterBackoff)))
	is.True(a.mayAskLimiter("other", now))
}
