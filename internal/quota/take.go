package quota

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/workspace"
)

const (
	// askTimeout bounds a question to a limiter for an operation that waits.
	askTimeout = 100 * time.Millisecond
	// unavailableRetry is when callers are to come back if no limiter answered.
	unavailableRetry = 300 * time.Millisecond
	// giveBackWithin is how soon an operation must have been found not to run for its token
	// to be given back. What is begun in a window passes the limit by the tokens that were
	// taken before it and are given back in it.
	giveBackWithin = 150 * time.Millisecond
)

// Take takes a token for an operation of a workspace that is about to begin, or refuses it.
func (g *Guard) Take(ctx context.Context, name string) *result.Error {
	w, ok := g.Workspaces.Workspaces().Named(name)
	if !ok || w.Limit.Unlimited() {
		return nil
	}
	now := g.Clock.Now()
	if g.takeHeld(w, now) {
		g.Metrics.taken.WithLabelValues(sourceHeld).Inc()
		return nil
	}
	answered := false
	for _, l := range g.candidates(w, now) {
		given, refusedFor, err := g.askFor(ctx, l, w)
		if given {
			g.Metrics.taken.WithLabelValues(g.source(l)).Inc()
			return nil
		}
		answered = answered || err == nil
		if err == nil {
			g.noteRefused(w, l, refusedFor)
		}
	}
	return g.refusal(w, answered)
}

// takeHeld takes a token that this instance holds.
func (g *Guard) takeHeld(w workspace.Workspace, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.account(w.Name, now)
	a.note(now)
	return a.take(now)
}

// account returns the account of a workspace. The caller holds g.mu.
func (g *Guard) account(name string, now time.Time) *account {
	a := g.accounts[name]
	if a == nil {
		a = newAccount(now)
		g.accounts[name] = a
	}
	return a
}

// candidates returns the limiters that may have a token, the one nearest to the instance's own
// share first.
func (g *Guard) candidates(w workspace.Workspace, now time.Time) []platform.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.layout == nil {
		return nil
	}
	shard := shardOf(w.Name)
	passed := g.passedBy(now)
	near := g.layout.nearest(shard, passed)
	if id := g.shares.limiterOf(shard, near.ID, now); id != near.ID && !passed(id) {
		if i, ok := g.layout.byID[id]; ok {
			near = i
		}
	}
	a := g.account(w.Name, now)
	var all []platform.Instance
	for _, l := range append([]platform.Instance{near}, g.layout.others(shard, passed)...) {
		if a.mayAsk(l.ID, now) {
			all = append(all, l)
		}
	}
	return all
}

// askFor asks a limiter for one token.
func (g *Guard) askFor(ctx context.Context, l platform.Instance, w workspace.Workspace) (given bool, refusedFor time.Duration, err error) {
	now := g.Clock.Now()
	g.mu.Lock()
	r := g.request(l.ID, now)
	g.mu.Unlock()
	r.Now = map[string]int{w.Name: 1}
	answer, err := g.ask(ctx, l, r, askTimeout)
	if err != nil {
		return false, 0, err
	}
	return answer.Now[w.Name] > 0, time.Duration(answer.ReturnMS[w.Name]) * time.Millisecond, nil
}

func (g *Guard) noteRefused(w workspace.Workspace, l platform.Instance, returnIn time.Duration) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account(w.Name, now).refused(l.ID, returnIn, now)
}

// source is the metric label of tokens of a limiter.
func (g *Guard) source(l platform.Instance) string {
	if l.FailureDomain == g.Fleet.Self().FailureDomain {
		return sourceNear
	}
	return sourceFar
}

// refusal refuses an operation. Its retry-after is when the first limiter that refused has a
// token for it, and a little more by chance, so that those refused here do not come back at once.
func (g *Guard) refusal(w workspace.Workspace, answered bool) *result.Error {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.account(w.Name, now)
	a.refusals++
	after := time.Duration(0)
	for _, at := range a.returnAt {
		if in := at.Sub(now); in > 0 && (after == 0 || in < after) {
			after = in
		}
	}
	if !answered && after == 0 {
		g.Metrics.refused.WithLabelValues(result.QuotaUnavailable.Label()).Inc()
		return result.New(result.QuotaUnavailable, "workspace %s", w.Name).WithRetryAfter(g.spread(unavailableRetry))
	}
	g.Metrics.refused.WithLabelValues(result.QuotaExceeded.Label()).Inc()
	return result.New(result.QuotaExceeded, "workspace %s", w.Name).WithRetryAfter(g.spread(max(after, minReturn)))
}

// spread returns a time between d and half as much again. The caller holds g.mu.
func (g *Guard) spread(d time.Duration) time.Duration {
	return d + time.Duration(g.Rand.Int64N(int64(d)/2+1))
}

// GiveBack gives a token back that was taken at a time, for an operation that did not run.
func (g *Guard) GiveBack(name string, taken time.Time) {
	now := g.Clock.Now()
	if now.Sub(taken) > giveBackWithin {
		return
	}
	w, ok := g.Workspaces.Workspaces().Named(name)
	if !ok || w.Limit.Unlimited() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account(name, now).returned++
}
