package retry

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/result"
)

// fullBudget returns a budget with as many tokens as it can hold.
func fullBudget() *Budget {
	b := initialBudget()
	for range int(DefaultBurst / DefaultRatio) {
		b.RecordRequest()
	}
	return b
}

// initialBudget returns the budget of a process that has just started.
func initialBudget() *Budget {
	return New(Config{Group: "contracts", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 2))})
}

// All instances and all callers return at once after a power failure, and members answer
// slowly only because of the load. With a full budget, an instance that has not answered
// anything yet would ask the members a second time for every read, when they have the least
// capacity.
func TestNewBudgetIsNotFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := initialBudget()
		retried := 0
		for range DefaultBurst {
			if _, refusal := b.ReserveRetry(failedAttempt(1)); refusal == nil {
				retried++
			}
		}
		is.Equal(retried, initialTokens)
	})
}

func failedAttempt(number int) Attempt {
	return Attempt{Number: number, Reason: Unreachable, Deadline: time.Now().Add(time.Hour)}
}

func TestRetriesAreBoundedByRatio(t *testing.T) {
	// A member is down, and every request of the group fails and asks for a retry. Once the
	// saved-up retries are spent, the budget admits a tenth of them, so that retries cannot
	// multiply the load of a failing group.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := fullBudget()
		retried := 0
		for range 1000 {
			b.RecordRequest()
			_, refusal := b.ReserveRetry(failedAttempt(1))
			if refusal == nil {
				retried++
				continue
			}
			is.Equal(refusal.Code, result.RetryBudgetSpent)
			is.True(refusal.RetryAfter > 0)
		}
		is.True(retried <= 1000*DefaultRatio+DefaultBurst)
		is.True(retried >= 1000*DefaultRatio)
	})
}

func TestRetryNeverExceedsTheDeadline(t *testing.T) {
	// The member requests a pause that is longer than the caller's remaining time. The
	// caller gets an error immediately, and no token is spent.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := fullBudget()
		a := failedAttempt(1)
		a.Deadline = time.Now().Add(time.Second)
		a.RetryAfter = 2 * time.Second
		before := b.tokens
		err := b.Wait(t.Context(), a)
		e, ok := result.As(err)
		is.True(ok)
		is.Equal(e.Code, result.DeadlineTooShort)
		is.Equal(b.tokens, before)
	})
}

func TestBackoffGrowsWithinItsBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := fullBudget()
		for number := 1; number < 20; number++ {
			whole := min(DefaultMinBackoff<<(number-1), DefaultMaxBackoff)
			d := b.backoff(number)
			is.True(d >= whole/2)
			is.True(d <= whole)
		}
	})
}

func TestIdleGroupEarnsRetriesOverTime(t *testing.T) {
	// The budget is spent and the group has hardly any requests. After one second, one
	// retry is possible again.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := fullBudget()
		for range DefaultBurst {
			is.NoErr(b.Wait(t.Context(), failedAttempt(1)))
		}
		b.tokens = 0
		_, refusal := b.ReserveRetry(failedAttempt(1))
		is.Equal(refusal.Code, result.RetryBudgetSpent)
		_ = clock.Sleep(t.Context(), clock.System{}, refusal.RetryAfter)
		is.NoErr(b.Wait(t.Context(), failedAttempt(1)))
	})
}
