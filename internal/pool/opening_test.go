package pool

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/result"
)

func TestFullMemberIsRetriedWithBackoff(t *testing.T) {
	// The member refuses one more connection with its own limit. Callers go on
	// with the connections there are; openings are tried one at a time, with
	// growing pauses, and never at once.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := newFakeMembers()
		p := members.newPool(10)
		defer closePool(t, p)
		held := acquire(t, p, firstMember)
		members.full[firstMember] = true
		members.attempts = nil
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				_, err := p.Acquire(ctx, firstMember, "")
				is.Equal(code(err), result.TooManyConnections)
			})
		}
		callers.Wait()
		is.True(len(members.attempts) <= 12)
		gaps := pausesBetween(members.attempts[DefaultMaxOpening:])
		is.True(len(gaps) >= 3)
		for _, gap := range gaps {
			is.True(gap >= DefaultMinBackoff/2)
		}
		is.True(gaps[len(gaps)-1] > 4*gaps[0])
		members.full[firstMember] = false
		p.Release(held)
	})
}

// pausesBetween returns the times between attempts.
func pausesBetween(attempts []time.Time) []time.Duration {
	var gaps []time.Duration
	for i := 1; i < len(attempts); i++ {
		gaps = append(gaps, attempts[i].Sub(attempts[i-1]))
	}
	return gaps
}

func TestAcquireFailsFastDuringBackoff(t *testing.T) {
	// No connection to the member opens. The first caller learns it from the
	// attempt, those that follow at once, with a retry-after, until the pause
	// is over.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := newFakeMembers()
		p := members.newPool(2)
		defer closePool(t, p)
		members.down[firstMember] = true
		_, err := p.Acquire(t.Context(), firstMember, "")
		is.Equal(code(err), result.UpstreamUnreachable)
		began := time.Now()
		_, err = p.Acquire(t.Context(), firstMember, "")
		e, _ := result.As(err)
		is.Equal(e.Code, result.UpstreamUnreachable)
		is.Equal(time.Since(began), time.Duration(0))
		is.True(e.RetryAfter >= DefaultMinBackoff/2)
		members.down[firstMember] = false
		sleep(e.RetryAfter)
		p.Release(acquire(t, p, firstMember))
	})
}

func TestReconnectionAfterFailoverIsBounded(t *testing.T) {
	// Four homes lose all connections to the old primary at one instant, and
	// the callers of each ask for the new primary at that instant. Each home
	// opens a bounded number at a time, spread by jitter, and all are served
	// well within a second.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := newFakeMembers()
		var pools []*Limited
		for range 4 {
			p := members.newPool(10)
			defer closePool(t, p)
			pools = append(pools, p)
		}
		began := time.Now()
		var callers sync.WaitGroup
		for _, p := range pools {
			for range 10 {
				callers.Go(func() {
					c, err := p.Acquire(context.Background(), secondMember, "")
					is.NoErr(err)
					sleep(time.Second)
					p.Release(c)
				})
			}
		}
		callers.Wait()
		t.Logf("40 connections, at most %d at once, last use ended after %v", members.maxConcurrent, time.Since(began))
		is.True(members.maxConcurrent <= 4*DefaultMaxOpening)
		is.True(time.Since(began) < 1200*time.Millisecond)
		is.Equal(members.openings, 40)
	})
}

// All instances lost power, and the members still count their connections, so that this
// one's first openings are refused. Statements are told so at once from the second
// refusal on, and can go elsewhere, instead of waiting for their deadlines; when the
// member has room again, it is found out within half a second.
func TestAcquireFailsFastWhileMemberIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := newFakeMembers()
		p := members.newPool(10)
		defer closePool(t, p)
		members.full[firstMember] = true
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		_, err := p.Acquire(ctx, firstMember, "")
		is.Equal(code(err), result.TooManyConnections)
		is.True(time.Since(began) < 4*DefaultMinBackoff)
		is.True(p.Full(firstMember))
		is.True(!p.Full(secondMember))
		for range 100 {
			began = time.Now()
			_, err := p.Acquire(ctx, firstMember, "")
			is.Equal(code(err), result.TooManyConnections)
			is.True(time.Since(began) <= maxFullBackoff)
			_ = clock.Sleep(t.Context(), clock.System{}, 100*time.Millisecond)
		}
		members.mu.Lock()
		members.full[firstMember] = false
		members.mu.Unlock()
		freedAt := time.Now()
		for {
			c, err := p.Acquire(t.Context(), firstMember, "")
			if err == nil {
				p.Release(c)
				break
			}
			_ = clock.Sleep(t.Context(), clock.System{}, 10*time.Millisecond)
		}
		is.True(time.Since(freedAt) < 500*time.Millisecond)
	})
}
