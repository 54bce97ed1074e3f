package membership

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/platform"
)

// Members is the view of one instance. It is safe for concurrent use.
type Members struct {
	options Options
	log     hclog.Logger
	metrics *Metrics
	current atomic.Pointer[snapshot]
	// changeNotified holds a token after the parent reported a change.
	changeNotified chan struct{}

	// mu serializes changes of the snapshot and guards the fields below.
	mu          sync.Mutex
	list        list
	placements  placements
	draining    bool
	subscribers []func()
}

// New returns a view that contains only this instance until a list is applied.
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
		changeNotified: make(chan struct{}, 1), list: newList(nil, nil, time.Time{}),
		placements: placements{defaultCount: o.PerFailureDomain}}
	m.publishSnapshot()
	m.registerHandlers()
	return m
}

// Self returns this instance. Its Leaving field is set if the platform lists the instance as
// leaving or SetDraining was called.
func (m *Members) Self() platform.Instance { return m.current.Load().self }

// Live returns the instances that are not leaving, ordered by ID. This instance is included
// unless it is leaving, even if the list lacks it: the list lags behind, and a serving instance
// must be able to rely on its own entry. The result must not be modified.
func (m *Members) Live() []platform.Instance { return m.current.Load().live }

// ListedInstances returns all instances on the platform's list, including those that are leaving. The
// result must not be modified.
func (m *Members) ListedInstances() []platform.Instance { return m.current.Load().listed }

// Peers returns the live instances other than this one. The result must not be modified.
func (m *Members) Peers() []platform.Instance { return m.current.Load().peers }

// FindPeer returns the live instance with an ID other than this one.
func (m *Members) FindPeer(id string) (platform.Instance, bool) {
	s := m.current.Load()
	i, ok := s.byID[id]
	return i, ok && id != s.self.ID
}

// IsUpstreamLeaving reports whether the upstream at an address is listed as leaving.
func (m *Members) IsUpstreamLeaving(address string) bool { return m.current.Load().leaving[address] }

// SetDraining marks this instance as leaving before the platform lists it as leaving.
func (m *Members) SetDraining() {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.publishSnapshot()
}

// Subscribe registers f to be called after each change of the view. f must not block.
func (m *Members) Subscribe(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, f)
}

// applyList puts a list in use and publishes the new view. It rejects lists that are older than
// the one in use, and an empty list if the one in use is not empty.
func (m *Members) applyList(next list) error {
	changed, err := m.replaceList(next)
	if changed {
		m.publishSnapshot()
	}
	return err
}

func (m *Members) replaceList(next list) (changed bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next.readAt.Before(m.list.readAt) {
		return false, errOlderList
	}
	// A platform that has just restarted may return an empty list. Accepting it would make
	// every instance the only home of every group at once; the previous list is closer to the
	// actual state.
	if len(next.instances) == 0 && len(m.list.instances) > 0 {
		return false, errEmptyList
	}
	// The checksum, which earlier builds compute as well, does not cover all fields of an entry.
	changed = next.checksum != m.list.checksum || !slices.Equal(next.instances, m.list.instances)
	m.list = next
	m.metrics.setListTime(next.readAt)
	return changed, nil
}

// listChecksum returns the checksum of the list in use.
func (m *Members) listChecksum() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.checksum
}

// publishSnapshot publishes a new snapshot if the view has changed.
func (m *Members) publishSnapshot() {
	m.mu.Lock()
	self := m.options.Self
	self.Leaving = m.draining
	next := newSnapshot(self, m.list, m.placements)
	old := m.current.Load()
	if old != nil && old.equal(next) {
		m.mu.Unlock()
		return
	}
	m.publish(old, next)
}

// publish replaces the snapshot and calls the subscribers. The caller holds m.mu, which publish
// releases.
func (m *Members) publish(old, next *snapshot) {
	next.reuseHomes(old)
	m.current.Store(next)
	subscribers := m.subscribers
	m.mu.Unlock()
	m.metrics.observeSnapshot(next)
	m.log.Info("Membership view changed.", "live", len(next.live), "leaving upstreams", len(next.leaving))
	for _, f := range subscribers {
		f()
	}
}
