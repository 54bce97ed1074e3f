package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/platform"
)

// Members is the view of one instance. It may be used by many goroutines.
type Members struct {
	options Options
	log     hclog.Logger
	metrics *Metrics
	current atomic.Pointer[snapshot]
	// wake holds a token after a parent told of a change.
	wake chan struct{}

	// mu orders changes of the snapshot and guards the fields below.
	mu          sync.Mutex
	held        list
	counts      homeCounts
	draining    bool
	subscribers []func()
}

// New returns a view that knows this instance alone until the first refresh.
func New(o Options) *Members {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Relays == 0 {
		o.Relays = DefaultRelays
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	m := &Members{options: o, log: o.Log.Named("membership"), metrics: o.Metrics,
		wake: make(chan struct{}, 1), held: newList(nil, nil, time.Time{}),
		counts: homeCounts{usual: o.PerFailureDomain}}
	m.rebuild()
	m.register()
	return m
}

// Self returns this instance. Leaving is set when the platform lists it as
// leaving or SetDraining was called.
func (m *Members) Self() platform.Instance { return m.current.Load().self }

// Live returns the instances that are not leaving, ordered by ID. This
// instance is among them unless it is leaving, even when the list lacks it:
// the list lags, and an instance that serves must be able to count on itself.
// The result must not be changed.
func (m *Members) Live() []platform.Instance { return m.current.Load().live }

// Listed returns the instances of the platform's list as it stands, those that leave included.
// The result must not be changed.
func (m *Members) Listed() []platform.Instance { return m.current.Load().listed }

// Peers returns the live instances other than this one. The result must not be
// changed.
func (m *Members) Peers() []platform.Instance { return m.current.Load().peers }

// Leaving reports whether the upstream at address is listed as leaving.
func (m *Members) Leaving(address string) bool { return m.current.Load().leaving[address] }

// SetDraining marks this instance as leaving before the platform lists it so.
func (m *Members) SetDraining() {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.rebuild()
}

// Subscribe calls f after each change of the view. f must not block.
func (m *Members) Subscribe(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, f)
}

// accept takes a list that was read later than the one in use.
func (m *Members) accept(next list) error {
	changed, err := m.replace(next)
	if changed {
		m.rebuild()
	}
	return err
}

func (m *Members) replace(next list) (changed bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next.readAt.Before(m.held.readAt) {
		return false, errOlderList
	}
	// A platform that has just restarted may list nobody. Taking that at its
	// word would make every instance the only home of every group at once; the
	// last list is closer to the truth.
	if len(next.instances) == 0 && len(m.held.instances) > 0 {
		return false, errEmptyList
	}
	changed = next.root != m.held.root
	m.held = next
	m.metrics.dated(next.readAt)
	return changed, nil
}

// root returns the sum over the list in use.
func (m *Members) root() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held.root
}

// rebuild publishes a new snapshot when the view has changed.
func (m *Members) rebuild() {
	m.mu.Lock()
	self := m.options.Self
	self.Leaving = m.draining
	next := newSnapshot(self, m.held, m.counts)
	old := m.current.Load()
	if old != nil && old.same(next) {
		m.mu.Unlock()
		return
	}
	next.carry(old)
	m.current.Store(next)
	subscribers := m.subscribers
	m.mu.Unlock()
	m.metrics.observe(next)
	m.log.Info("View changed.", "live", len(next.live), "leaving upstreams", len(next.leaving))
	for _, f := range subscribers {
		f()
	}
}
