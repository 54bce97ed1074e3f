package failover

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/platform"
)

// Claimer detects the failure of one group's primary and replaces it.
type Claimer struct {
	Config
	log hclog.Logger
	// reportedUnreadable is the version of the record that was last reported as unreadable.
	reportedUnreadable atomic.Int64
}

// New returns a Claimer; call Run to start it.
func New(c Config) *Claimer {
	if c.Settings == (Settings{}) {
		c.Settings = DefaultSettings()
	}
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Witness == nil {
		c.Witness = noWitness{}
	}
	if c.Instances == nil {
		c.Instances = func() []platform.Instance { return []platform.Instance{c.Self} }
	}
	return &Claimer{Config: c, log: c.Logger.Named("failover").With("group", c.Group)}
}

// Run monitors the primary and attaches members until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { newPrimaryMonitor(c).run(ctx) })
	wg.Go(func() { newAttacher(c).run(ctx) })
	wg.Wait()
}

// rank returns this instance's rank among the claimers for the given snapshot.
func (c *Claimer) rank(s *group.Snapshot) int {
	m, _ := s.FindMember(s.Primary)
	failingDomain := ""
	if m.Failures > 0 {
		failingDomain = m.FailureDomain
	}
	return rank(c.Group, c.Self.ID, failingDomain, c.Instances())
}

// failsWork reports whether a member fails the statements of this instance, whatever its role.
// After the death of a claimer, it must not be promoted again if another one is as up to date.
func (c *Claimer) failsWork(address string) bool {
	w := workWatch{view: c.Work, enabled: c.ReplaceFailing}
	return w.inUse() && workState(c.Clock.Now(), c.Work.Work(address)) == WorkFailing
}

func (c *Claimer) callHook(step Step) {
	if c.OnStep != nil {
		c.OnStep(step)
	}
}

// pause waits for d, a change, or the end of ctx. A nil channel never signals a change.
func (c *Claimer) pause(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	t := c.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}
