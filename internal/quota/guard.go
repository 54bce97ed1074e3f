package quota

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// methodServe is the peer method for requests to a limiter.
const methodServe = "quota.serve"

const (
	// renewalInterval is the time between two checks of leases and accounts.
	renewalInterval = 100 * time.Millisecond
	// checksPerOwnershipUpdate is the number of checks after which the list of instances is
	// read again even if no change was reported.
	checksPerOwnershipUpdate = 50
)

// Config is the configuration of a Guard.
type Config struct {
	// Process identifies this process among those of the instance.
	Process    string
	Fleet      Fleet
	Workspaces Workspaces
	Tolerance  Tolerance
	Caller     peer.Caller
	Clock      clock.Clock
	// Rand adds jitter to retry-afters. It is used only under the lock of the Guard.
	Rand *rand.Rand
	// CutOff reports whether this instance is cut off from most members and instances.
	CutOff func() bool
	// Ranked reports whether more urgent operations get tokens first; nil if they never do. Once
	// it was true, it stays true.
	Ranked func() bool
	// RankOf returns the rank of a class's operations at a group, or a value out of range if the
	// class is not known. It may be nil if Ranked is.
	RankOf  func(group, class string) Rank
	Logger  hclog.Logger
	Metrics *Metrics
}

// Guard takes a token for each operation that this instance begins, and is a limiter for other
// instances.
type Guard struct {
	Config
	limiter *Limiter

	mu         sync.Mutex
	ownership  *Ownership
	delegator  *Delegator
	accounts   map[string]*account
	assignment *assignment
	// assignedFrom holds the instances that the assignment was computed from.
	assignedFrom []platform.Instance
	// unreachableUntil is until when limiters that did not answer are not asked.
	unreachableUntil map[string]time.Time
	// renewing holds the limiters with a renewal in progress.
	renewing map[string]bool
	// renewNow triggers a check of leases and accounts at once; it holds at most one request.
	renewNow chan struct{}
	// logInvalidRanksAt is when wrong counts by rank are logged next.
	logInvalidRanksAt time.Time
}

// New returns a Guard. Run renews its leases.
func New(c Config) *Guard {
	c.Logger = c.Logger.Named("quota")
	now := c.Clock.Now()
	l := NewLimiter(c.Process, now, c.Tolerance, c.Workspaces)
	l.ranked = c.Ranked
	return &Guard{
		Config:           c,
		limiter:          l,
		ownership:        NewOwnership(c.Fleet.Self().ID),
		delegator:        NewDelegator(c.Process, now),
		accounts:         make(map[string]*account),
		unreachableUntil: make(map[string]time.Time),
		renewing:         make(map[string]bool),
		renewNow:         make(chan struct{}, 1),
	}
}

// Register adds the limiter's method to the peer server.
func (g *Guard) Register(r peer.HandlerRegistry) {
	r.Handle(methodServe, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var received request
		if err := json.Unmarshal(params, &received); err != nil {
			return nil, result.New(result.ProtocolViolation, "quota request").WithCause(err)
		}
		answer := g.limiter.handleRequest(received, g.Clock.Now())
		if answer.invalidRanks {
			g.recordInvalidRanks(received.Instance)
		}
		return answer, nil
	})
}

// UpdateInstances recomputes the assignment of limiters after the view of the instances has changed.
func (g *Guard) UpdateInstances() {
	g.updateAssignment()
	g.updateOwnership()
	g.triggerRenewals()
}

// updateAssignment recomputes the assignment of limiters unless the instances are the same: the view
// also changes with the homes of groups.
func (g *Guard) updateAssignment() {
	live := g.Fleet.Live()
	g.mu.Lock()
	same := g.assignment != nil && slices.Equal(g.assignedFrom, live)
	g.mu.Unlock()
	if same {
		return
	}
	updated := newAssignment(g.Fleet)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.assignment, g.assignedFrom = updated, live
}

// triggerRenewals requests a check of leases and accounts at once. It never blocks.
func (g *Guard) triggerRenewals() {
	select {
	case g.renewNow <- struct{}{}:
	default:
	}
}

// updateOwnership reads the list of instances.
func (g *Guard) updateOwnership() {
	if !g.Fleet.IsLoaded() {
		return
	}
	listed := g.Fleet.ListedInstances()
	ids := make([]string, 0, len(listed))
	for _, i := range listed {
		ids = append(ids, i.ID)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ownership.UpdateInstances(ids, g.Clock.Now())
}

// Run renews the leases until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	var renewals sync.WaitGroup
	defer renewals.Wait()
	timer := g.Clock.NewTimer(renewalInterval)
	defer timer.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-g.renewNow:
		case <-timer.C:
			timer.Reset(renewalInterval)
		}
		if n%checksPerOwnershipUpdate == 0 {
			g.updateOwnership()
		}
		g.logEndedPeriods()
		for _, l := range g.markDueLimiters() {
			renewals.Go(func() { g.renewLease(ctx, l) })
		}
	}
}
