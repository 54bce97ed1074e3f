package quota

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/workspace"
)

// methodServe asks a limiter.
const methodServe = "quota.serve"

const (
	// askTimeout bounds a question to a limiter for an operation that waits, and renewTimeout
	// one for which nothing waits.
	askTimeout   = 100 * time.Millisecond
	renewTimeout = 500 * time.Millisecond
	// unreachedFor is how long a limiter that did not answer is passed by.
	unreachedFor = 2 * time.Second
	// tick is the time between two looks at leases and accounts.
	tick = 100 * time.Millisecond
	// listTicks is after how many ticks the list of instances is looked at without a change.
	listTicks = 50
	// unavailableRetry is when callers are to come back if no limiter answered.
	unavailableRetry = 300 * time.Millisecond
	// giveBackWithin is how soon an operation must have been found not to run for its token
	// to be given back. What is begun in a window passes the limit by the tokens that were
	// taken before it and are given back in it.
	giveBackWithin = 150 * time.Millisecond
)

// Config is what a Guard is made of.
type Config struct {
	// Process names this process among those of the instance.
	Process    string
	Fleet      Fleet
	Workspaces Workspaces
	Tolerance  Tolerance
	Caller     peer.Caller
	Clock      clock.Clock
	// Rand spreads retry-afters, under the lock of the Guard only.
	Rand *rand.Rand
	// CutOff reports whether this instance is cut off.
	CutOff  func() bool
	Logger  hclog.Logger
	Metrics *Metrics
}

// Guard takes a token for each operation that this instance begins, and is a limiter for others.
type Guard struct {
	Config
	limiter *Limiter

	mu        sync.Mutex
	ownership *Ownership
	shares    *Shares
	accounts  map[string]*account
	layout    *layout
	// unreached is until when limiters that did not answer are passed by.
	unreached map[string]time.Time
	// renewing holds the limiters that are asked for leases and tokens ahead now.
	renewing map[string]bool
	// kick asks for a look at leases and accounts at once; it holds at most one request.
	kick chan struct{}
}

// New returns a Guard; Run keeps its leases.
func New(c Config) *Guard {
	c.Logger = c.Logger.Named("quota")
	now := c.Clock.Now()
	return &Guard{
		Config:    c,
		limiter:   NewLimiter(c.Process, now, c.Tolerance, c.Workspaces),
		ownership: NewOwnership(c.Fleet.Self().ID),
		shares:    NewShares(c.Process, now),
		accounts:  make(map[string]*account),
		unreached: make(map[string]time.Time),
		renewing:  make(map[string]bool),
		kick:      make(chan struct{}, 1),
	}
}

// Register adds the limiter's method to the peer server.
func (g *Guard) Register(r peer.Registry) {
	r.Handle(methodServe, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var asked request
		if err := json.Unmarshal(params, &asked); err != nil {
			return nil, result.New(result.ProtocolViolation, "quota request").WithCause(err)
		}
		return g.limiter.serve(asked, g.Clock.Now()), nil
	})
}

// Observe takes in that the view of the instances has changed.
func (g *Guard) Observe() {
	view := newLayout(g.Fleet)
	g.mu.Lock()
	g.layout = view
	g.mu.Unlock()
	g.observe()
	g.look()
}

// look asks for a look at leases and accounts at once. It never blocks.
func (g *Guard) look() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// observe takes in the list of instances.
func (g *Guard) observe() {
	if !g.Fleet.Known() {
		return
	}
	listed := g.Fleet.Listed()
	ids := make([]string, 0, len(listed))
	for _, i := range listed {
		ids = append(ids, i.ID)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ownership.Observe(ids, g.Clock.Now())
}

// Run keeps the leases until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	var parts sync.WaitGroup
	defer parts.Wait()
	timer := g.Clock.NewTimer(tick)
	defer timer.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-g.kick:
		case <-timer.C:
			timer.Reset(tick)
		}
		if n%listTicks == 0 {
			g.observe()
		}
		for _, l := range g.dueLimiters() {
			parts.Go(func() { g.renew(ctx, l) })
		}
	}
}

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

// ask asks a limiter and keeps in mind whether it answers.
func (g *Guard) ask(ctx context.Context, l platform.Instance, r request, limit time.Duration) (response, error) {
	var answer response
	asked := g.Clock.Now()
	if l.ID == g.Fleet.Self().ID {
		answer = g.limiter.serve(r, g.Clock.Now())
	} else {
		bounded, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		if err := g.Caller.Call(bounded, l.PeerAddress, methodServe, r, &answer); err != nil {
			g.noteUnreached(ctx, l, err)
			return response{}, err
		}
	}
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares.heard(l.ID, answer, asked, now)
	delete(g.unreached, l.ID)
	return answer, nil
}

// noteUnreached has a limiter that did not answer passed by for a while.
func (g *Guard) noteUnreached(ctx context.Context, l platform.Instance, err error) {
	if ctx.Err() != nil {
		return
	}
	g.Metrics.unreached.Inc()
	g.Logger.Debug("Limiter did not answer.", "limiter", l.ID, "error", err)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreached[l.ID] = g.Clock.Now().Add(unreachedFor)
}

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

// Use is what an instance has begun for a workspace.
type Use struct {
	// PerSecond is the average of the operations that were asked for of late.
	PerSecond float64
	// Refused counts those that were refused.
	Refused uint64
}

// UseOf returns the use of a workspace's limit by this instance.
func (g *Guard) UseOf(name string) Use {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.accounts[name]
	if a == nil {
		return Use{}
	}
	a.decay(g.Clock.Now())
	return Use{PerSecond: a.demand, Refused: a.refusals}
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
