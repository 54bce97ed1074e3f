package quota

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/workspace"
)

const (
	// tokenRequestTimeout bounds a request to a limiter while an operation waits for it.
	tokenRequestTimeout = 100 * time.Millisecond
	// unavailableRetryAfter is the retry-after if no limiter answered.
	unavailableRetryAfter = 300 * time.Millisecond
	// maxReturnDelay is the longest time between taking a token and returning it because its
	// operation did not run. The operations that begin in a window can exceed the limit by the
	// tokens that were taken before the window and returned in it.
	maxReturnDelay = 150 * time.Millisecond
)

// TakeToken takes a token for an operation that is about to begin for a workspace, or returns
// why the operation is refused. rank must be within its bounds.
func (g *Guard) TakeToken(ctx context.Context, name string, rank Rank) *result.Error {
	w, ok := g.Workspaces.Workspaces().ByName(name)
	if !ok || w.Limit.Unlimited() {
		return nil
	}
	departure := execution.DepartureOf(ctx)
	if departure.Left() {
		return execution.ErrCallerLeft
	}
	now := g.Clock.Now()
	if g.takePrefetched(w, rank, now) {
		g.countToken(sourcePrefetched, rank)
		return nil
	}
	answered := false
	for _, l := range g.candidateLimiters(w, rank, now) {
		// A request that was cut short could lose the token that the limiter grants.
		if !departure.Hold(execution.StageWaiting) {
			return execution.ErrCallerLeft
		}
		granted, retryAfter, err := g.requestToken(ctx, l, w, rank)
		departure.Resume()
		if granted {
			g.countToken(g.tokenSource(l), rank)
			return nil
		}
		answered = answered || err == nil
		if err == nil {
			g.recordRefusal(w, l, rank, retryAfter)
		}
	}
	refused := g.newRefusal(w, rank, answered)
	if refused.Code == result.QuotaExceeded {
		g.recordLimited(w.Name, rank)
	}
	return refused
}

// takePrefetched counts an operation and takes a prefetched token if there is one.
func (g *Guard) takePrefetched(w workspace.Workspace, rank Rank, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.accountOf(w.Name, now)
	a.recordOperation(rank, now)
	return a.takeToken(rank, now)
}

// accountOf returns the account of a workspace, creating it if needed. The caller holds g.mu.
func (g *Guard) accountOf(name string, now time.Time) *account {
	a := g.accounts[name]
	if a == nil {
		a = newAccount(now)
		g.accounts[name] = a
	}
	return a
}

// candidateLimiters returns the limiters that may have a token. The limiter that has this
// instance's own share, or is assigned it, comes first, followed by those of the other failure
// domains.
func (g *Guard) candidateLimiters(w workspace.Workspace, rank Rank, now time.Time) []platform.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.assignment == nil {
		return nil
	}
	shard := shardOf(w.Name)
	skip := g.unreachableAt(now)
	preferred := g.assignment.sameDomainLimiter(shard, skip)
	if id := g.delegator.currentLimiter(shard, preferred.ID, now); id != preferred.ID && !skip(id) {
		if i, ok := g.assignment.byID[id]; ok {
			preferred = i
		}
	}
	a := g.accountOf(w.Name, now)
	var all []platform.Instance
	for _, l := range append([]platform.Instance{preferred}, g.assignment.otherDomainLimiters(shard, skip)...) {
		if a.mayAskLimiter(l.ID, rank, now) {
			all = append(all, l)
		}
	}
	return all
}

// requestToken asks a limiter for one token.
func (g *Guard) requestToken(ctx context.Context, l platform.Instance, w workspace.Workspace, rank Rank) (granted bool, retryAfter time.Duration, err error) {
	now := g.Clock.Now()
	g.mu.Lock()
	r := g.newRequest(l.ID, now)
	g.mu.Unlock()
	r.Waiting = map[string]int{w.Name: 1}
	var waiting rankCounts
	waiting[rank] = 1
	g.stateRanks(&r.WaitingByRank, w.Name, waiting)
	answer, err := g.askLimiter(ctx, l, r, tokenRequestTimeout)
	if err != nil {
		return false, 0, err
	}
	return answer.Granted[w.Name] > 0, time.Duration(answer.RetryAfterMS[w.Name]) * time.Millisecond, nil
}

func (g *Guard) recordRefusal(w workspace.Workspace, l platform.Instance, rank Rank, retryAfter time.Duration) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accountOf(w.Name, now).recordRefusal(l.ID, rank, retryAfter, now)
}

// tokenSource returns the metric label for tokens of a limiter.
func (g *Guard) tokenSource(l platform.Instance) string {
	if l.FailureDomain == g.Fleet.Self().FailureDomain {
		return sourceSameDomain
	}
	return sourceOtherDomain
}

// newRefusal returns the error for a refused operation. Its retry-after is the earliest retry
// time that a limiter gave, plus jitter so that the callers refused here do not all retry at the same
// time.
func (g *Guard) newRefusal(w workspace.Workspace, rank Rank, answered bool) *result.Error {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.accountOf(w.Name, now)
	a.refusals++
	retryAfter := a.earliestRetry(rank, now)
	if !answered && retryAfter == 0 {
		g.countRefusal(result.QuotaUnavailable.Label(), rank)
		return result.New(result.QuotaUnavailable, "workspace %s", w.Name).WithRetryAfter(g.addJitter(unavailableRetryAfter))
	}
	g.countRefusal(result.QuotaExceeded.Label(), rank)
	retryAfter = g.addJitter(max(retryAfter, minRetryAfter))
	if g.usesRanks() {
		return result.New(result.QuotaExceeded, "workspace %s, rank %d", w.Name, rank).WithRetryAfter(retryAfter)
	}
	return result.New(result.QuotaExceeded, "workspace %s", w.Name).WithRetryAfter(retryAfter)
}

// addJitter returns a random duration between d and 1.5 d. The caller holds g.mu.
func (g *Guard) addJitter(d time.Duration) time.Duration {
	return d + time.Duration(g.Rand.Int64N(int64(d)/2+1))
}

// ReturnToken returns a token that was taken at takenAt for an operation that did not run.
func (g *Guard) ReturnToken(name string, takenAt time.Time) {
	now := g.Clock.Now()
	if now.Sub(takenAt) > maxReturnDelay {
		return
	}
	w, ok := g.Workspaces.Workspaces().ByName(name)
	if !ok || w.Limit.Unlimited() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accountOf(name, now).tokensToReturn++
}
