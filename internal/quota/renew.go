package quota

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// renewalTimeout bounds a request to a limiter while no operation waits for the answer.
	renewalTimeout = 500 * time.Millisecond
	// unreachableFor is how long a limiter that did not answer is not asked again.
	unreachableFor = 2 * time.Second
)

// markDueLimiters returns the limiters that need a renewal now, and marks them as being
// renewed.
func (g *Guard) markDueLimiters() []platform.Instance {
	hasLimits := g.hasLimits()
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ownership.SetCutOff(g.CutOff(), now)
	g.removeUnusedAccounts(now)
	if !hasLimits || g.assignment == nil {
		return nil
	}
	limiterFor := g.limiterByShard(now)
	var due []platform.Instance
	for _, id := range assignedLimiterIDs(limiterFor) {
		if g.renewing[id] || !g.delegator.needsRequest(id, limiterFor, now) && !g.hasTokensToExchange(id, limiterFor, now) {
			continue
		}
		g.renewing[id] = true
		due = append(due, g.assignment.byID[id])
	}
	return due
}

// hasLimits reports whether any workspace has a limit.
func (g *Guard) hasLimits() bool {
	for _, w := range g.Workspaces.Workspaces().All() {
		if !w.Limit.Unlimited() {
			return true
		}
	}
	return false
}

// limiterByShard returns a function that maps a shard to its limiter in this failure domain.
// The caller holds g.mu.
func (g *Guard) limiterByShard(now time.Time) func(shard int) string {
	return func(shard int) string { return g.assignment.sameDomainLimiter(shard, g.unreachableAt(now)).ID }
}

// sameDomainLimiterIDs returns the IDs of the limiters in this failure domain. Every shard ranks
// the same limiters. The caller holds g.mu.
func (g *Guard) sameDomainLimiterIDs() []string {
	var ids []string
	for _, i := range g.assignment.sameDomain[0] {
		ids = append(ids, i.ID)
	}
	return ids
}

// unreachableAt returns a function that reports whether a limiter is excluded at now because it
// recently did not answer. The caller holds g.mu.
func (g *Guard) unreachableAt(now time.Time) func(id string) bool {
	return func(id string) bool { return now.Before(g.unreachableUntil[id]) }
}

// hasTokensToExchange reports whether tokens are to be prefetched from a limiter or returned to
// it. The caller holds g.mu.
func (g *Guard) hasTokensToExchange(limiter string, limiterFor func(int) string, now time.Time) bool {
	for name, a := range g.accounts {
		if limiterFor(shardOf(name)) == limiter && (a.tokensToReturn > 0 || a.mayPrefetch(limiter, now)) {
			return true
		}
	}
	return false
}

// removeUnusedAccounts expires prefetched tokens and removes the accounts of workspaces without
// operations. The caller holds g.mu.
func (g *Guard) removeUnusedAccounts(now time.Time) {
	for name, a := range g.accounts {
		a.expireTokens(now)
		if a.unused(now) {
			delete(g.accounts, name)
		}
	}
}

// renewLease renews the lease at a limiter, prefetches tokens from it and returns tokens to it.
func (g *Guard) renewLease(ctx context.Context, l platform.Instance) {
	sentAt := g.Clock.Now()
	r := g.newRenewal(l.ID, sentAt)
	answer, err := g.askLimiter(ctx, l, r, renewalTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.renewing, l.ID)
	if err != nil {
		return
	}
	if g.delegator.endEarlierLeases(g.sameDomainLimiterIDs(), g.Clock.Now()) {
		g.triggerRenewals()
	}
	for name, n := range answer.PrefetchGranted {
		if a := g.accounts[name]; a != nil {
			counts, _ := divideByRank(n, grantedByRank(answer, r, name), LeastUrgent)
			a.addTokens(counts, sentAt)
		}
	}
}

// grantedByRank returns for which ranks a limiter granted tokens. One that does not state it has no
// ranks, and its tokens go to the most urgent operations that they were requested for.
func grantedByRank(answer response, r request, name string) map[Rank]int {
	asked := r.PrefetchByRank[name]
	if stated, ok := answer.PrefetchGrantedByRank[name]; ok && asked != nil {
		return stated
	}
	return asked
}

// newRenewal creates the request for a renewal.
func (g *Guard) newRenewal(limiter string, now time.Time) request {
	g.mu.Lock()
	defer g.mu.Unlock()
	limiterFor := g.limiterByShard(now)
	r := g.newRequest(limiter, now)
	r.Prefetched, r.Prefetch, r.Returned = make(map[string]int), make(map[string]int), make(map[string]int)
	for name, a := range g.accounts {
		if limiterFor(shardOf(name)) != limiter {
			continue
		}
		r.Prefetched[name] = a.tokens.total()
		if n := a.tokensToPrefetch(now); n.total() > 0 {
			r.Prefetch[name] = n.total()
			g.stateRanks(&r.PrefetchByRank, name, n)
		}
		if a.tokensToReturn > 0 {
			r.Returned[name] = a.tokensToReturn
			a.tokensToReturn = 0
		}
	}
	return r
}

// newRequest creates a request, with a lease if one is due. The caller holds g.mu.
func (g *Guard) newRequest(limiter string, now time.Time) request {
	r := request{Instance: g.Fleet.Self().ID, Process: g.Process}
	limiterFor := g.limiterByShard(now)
	if shareCount := g.ownership.ShareCount(now); shareCount > 0 && g.delegator.needsRequest(limiter, limiterFor, now) {
		r.Lease = g.delegator.newLease(limiter, shareCount, limiterFor, now)
	}
	return r
}
