package executor

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/retry"
	"github.com/topazrock/topazrock/internal/wire"
)

// unreachablePool is a pool whose members cannot be reached. The group has no primary from the
// first attempt on.
type unreachablePool struct{ *fakeCluster }

// Acquire implements pool.Pool.
func (p unreachablePool) Acquire(_ context.Context, address, _ string) (wire.Conn, error) {
	p.snapshot.Primary = ""
	return nil, result.New(result.UpstreamUnreachable, "member %s", address)
}

// Guards against writes that wait in vain for a primary and spend the retry budget, so that reads
// that replicas could still answer are not retried.
func TestWriteWithoutPrimaryDoesNotSpendRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, cluster := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
		g.Pool = unreachablePool{cluster}
		g.Budget = retry.New(retry.Config{Group: "g", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 2)), Ratio: 0.001, PerSecond: 0.001})
		attempt := retry.Attempt{Number: 1, Reason: retry.Unreachable, Deadline: time.Now().Add(time.Hour)}
		for {
			if _, refusal := g.Budget.ReserveRetry(attempt); refusal != nil {
				break
			}
		}
		g.Budget.ReturnRetry()
		u := &execution.Unit{ID: "u", Group: "g", Timeout: 5 * time.Second, Messages: []byte("write")}
		_, err := g.Execute(t.Context(), u, nil)
		is.True(err != nil)
		_, refusal := g.Budget.ReserveRetry(attempt)
		is.True(refusal == nil)
	})
}
