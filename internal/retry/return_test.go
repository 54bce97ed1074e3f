package retry

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against a budget that is spent by requests that are given up before their retry: other
// requests could then not be retried.
func TestCancelledRetryCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := initialBudget()
		for range 10 * initialTokens {
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error)
			go func() { ended <- b.Wait(ctx, failedAttempt(1)) }()
			synctest.Wait()
			cancel()
			is.True(<-ended != nil)
		}
		for range initialTokens {
			_, refusal := b.ReserveRetry(failedAttempt(1))
			is.True(refusal == nil)
		}
		_, refusal := b.ReserveRetry(failedAttempt(1))
		is.True(refusal != nil)
	})
}
