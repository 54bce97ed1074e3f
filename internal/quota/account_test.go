package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tokens that are held past their life, by when another window has begun.
func TestHeldTokensExpire(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	a := newAccount(now)
	a.add(3, now)
	is.True(a.take(now.Add(aheadLife - time.Millisecond)))
	is.True(!a.take(now.Add(aheadLife)))
	is.Equal(a.returned, 2)
}

// Guards against tokens that come later and lengthen the life of those before.
func TestTokensExpireWithTheOldest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	a := newAccount(now)
	a.add(1, now)
	a.add(1, now.Add(time.Second))
	is.True(!a.take(now.Add(aheadLife)))
}

// The load pattern is a workspace with few operations at an instance, and one with many. Guards
// against tokens that are held for operations which do not come.
func TestTokensAreHeldForTheDemandAlone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	seldom, often := newAccount(now), newAccount(now)
	for n := range 400 {
		at := now.Add(time.Duration(n) * 10 * time.Millisecond)
		often.note(at)
		if n%300 == 0 {
			seldom.note(at)
		}
	}
	end := now.Add(4 * time.Second)
	is.Equal(seldom.wanted(end), 0)
	is.True(often.wanted(end) >= 20 && often.wanted(end) <= 30)
	is.Equal(often.wanted(end.Add(accountLife)), 0)
}

// Guards against a limiter that had no token being asked for each operation of a hot workspace,
// and against one that is not asked again.
func TestLimiterWithoutTokensIsSpared(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	a := newAccount(now)
	a.refused("l", time.Second, now)
	is.True(!a.mayAsk("l", now.Add(longestRefusal-time.Millisecond)))
	is.True(a.mayAsk("l", now.Add(longestRefusal)))
	is.True(a.mayAsk("other", now))
}
