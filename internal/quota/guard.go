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
	"github.com/topazrock/topazrock/internal/result"
)

// methodServe asks a limiter.
const methodServe = "quota.serve"

const (
	// tick is the time between two looks at leases and accounts.
	tick = 100 * time.Millisecond
	// listTicks is after how many ticks the list of instances is looked at without a change.
	listTicks = 50
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
