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
	// The member refuses further connections because of its own limit. Requests use the
	// existing connections; openings are tried one at a time with growing backoff.
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
		gaps := intervalsBetween(members.attempts[DefaultMaxConcurrentOpenings:])
		is.True(len(gaps) >= 3)
		for _, gap := range gaps {
			is.True(gap >= DefaultMinBackoff/2)
		}
		is.True(gaps[len(gaps)-1] > 4*gaps[0])
		members.full[firstMember] = false
		p.Release(held)
	})
}

// intervalsBetween returns the intervals between attempts.
func intervalsBetween(attempts []time.Time) []time.Duration {
	var gaps []time.Duration
	for i := 1; i < len(attempts); i++ {
		gaps = append(gaps, attempts[i].Sub(attempts[i-1]))
	}
	return gaps
}

func TestAcquireFailsFastDuringBackoff(t *testing.T) {
	// No connection to the member can be opened. The first request fails with the attempt;
	// those that follow fail at once, with a retry-after, until the backoff has passed.
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
	// Four pools lose all connections to the old primary at the same time, and requests for
	// the new primary arrive at each in the same moment. Each pool opens a bounded number
	// of connections at a time, spread by jitter, and all requests are served well within a
	// second.
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
		is.True(members.maxConcurrent <= 4*DefaultMaxConcurrentOpenings)
		is.True(time.Since(began) < 1200*time.Millisecond)
		is.Equal(members.openings, 40)
	})
}

// All instances lost power, and the members still count their connections, so the first
// openings are refused. From the second refusal on, requests must fail at once, so that
// they can go to another member instead of waiting for their deadline; when the member
// accepts connections again, this is detected within half a second.
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
		is.True(p.IsFull(firstMember))
		is.True(!p.IsFull(secondMember))
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
