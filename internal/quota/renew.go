package quota

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// renewTimeout bounds a question to a limiter for which nothing waits.
	renewTimeout = 500 * time.Millisecond
	// unreachedFor is how long a limiter that did not answer is passed by.
	unreachedFor = 2 * time.Second
)

// dueLimiters returns the limiters to ask for something now, and marks them as asked.
func (g *Guard) dueLimiters() []platform.Instance {
	limited := g.limited()
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ownership.SetCutOff(g.CutOff(), now)
	g.forgetAccounts(now)
	if !limited || g.layout == nil {
		return nil
	}
	chosen := g.chosen(now)
	var due []platform.Instance
	for _, id := range limiters(chosen) {
		if g.renewing[id] || !g.shares.due(id, chosen, now) && !g.wants(id, chosen, now) {
			continue
		}
		g.renewing[id] = true
		due = append(due, g.layout.byID[id])
	}
	return due
}

// limited reports whether any workspace has a limit.
func (g *Guard) limited() bool {
	for _, w := range g.Workspaces.Workspaces().All() {
		if !w.Limit.Unlimited() {
			return true
		}
	}
	return false
}

// chosen returns the choice of limiters in this failure domain. The caller holds g.mu.
func (g *Guard) chosen(now time.Time) func(shard int) string {
	return func(shard int) string { return g.layout.nearest(shard, g.passedBy(now)).ID }
}

// nearLimiters returns the limiters of this failure domain. The caller holds g.mu.
func (g *Guard) nearLimiters() []string {
	var ids []string
	for _, i := range g.layout.near[0] {
		ids = append(ids, i.ID)
	}
	return ids
}

// passedBy reports which limiters did not answer of late. The caller holds g.mu.
func (g *Guard) passedBy(now time.Time) func(id string) bool {
	return func(id string) bool { return now.Before(g.unreached[id]) }
}

// wants reports whether tokens ahead are wanted from a limiter, or are to be given back.
func (g *Guard) wants(limiter string, chosen func(int) string, now time.Time) bool {
	for name, a := range g.accounts {
		if chosen(shardOf(name)) == limiter && (a.returned > 0 || a.wanted(now) > 0 && a.mayAsk(limiter, now)) {
			return true
		}
	}
	return false
}

// forgetAccounts forgets workspaces without operations.
func (g *Guard) forgetAccounts(now time.Time) {
	for name, a := range g.accounts {
		a.dropExpired(now)
		if a.unused(now) {
			delete(g.accounts, name)
		}
	}
}

// renew renews the lease of a limiter and asks it for tokens ahead.
func (g *Guard) renew(ctx context.Context, l platform.Instance) {
	asked := g.Clock.Now()
	r := g.renewal(l.ID, asked)
	answer, err := g.ask(ctx, l, r, renewTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.renewing, l.ID)
	if err != nil {
		return
	}
	if g.shares.clear(g.nearLimiters(), g.Clock.Now()) {
		g.look()
	}
	for name, n := range answer.Ahead {
		if a := g.accounts[name]; a != nil {
			a.add(n, asked)
		}
	}
}

// renewal makes the request of a renewal.
func (g *Guard) renewal(limiter string, now time.Time) request {
	g.mu.Lock()
	defer g.mu.Unlock()
	chosen := g.chosen(now)
	r := g.request(limiter, now)
	r.Held, r.Ahead, r.Returned = make(map[string]int), make(map[string]int), make(map[string]int)
	for name, a := range g.accounts {
		if chosen(shardOf(name)) != limiter {
			continue
		}
		r.Held[name] = a.tokens
		if n := a.wanted(now); n > 0 {
			r.Ahead[name] = n
		}
		if a.returned > 0 {
			r.Returned[name] = a.returned
			a.returned = 0
		}
	}
	return r
}

// request makes a request, with a lease if one is due. The caller holds g.mu.
func (g *Guard) request(limiter string, now time.Time) request {
	r := request{Holder: g.Fleet.Self().ID, Process: g.Process}
	chosen := g.chosen(now)
	if parts := g.ownership.Parts(now); parts > 0 && g.shares.due(limiter, chosen, now) {
		r.Lease = g.shares.lease(limiter, parts, chosen, now)
	}
	return r
}
