package membership

import "github.com/topazrock/topazrock/internal/platform"

// SetInstances sets a list of instances that is maintained elsewhere, instead of the lists that
// Run reads.
func (m *Members) SetInstances(instances []platform.Instance) {
	if err := m.applyList(newList(instances, nil, m.options.Clock.Now())); err != nil {
		m.log.Info("List of instances rejected.", "instances", len(instances), "error", err)
	}
}

// SetPlacements sets where the homes of individual groups are; all other groups have
// Options.PerFailureDomain homes in each failure domain. The map must not be modified afterwards.
func (m *Members) SetPlacements(byGroup map[string]Placement) {
	m.mu.Lock()
	next := placements{defaultCount: m.options.PerFailureDomain, byGroup: byGroup}
	if next.equal(m.placements) {
		m.mu.Unlock()
		return
	}
	m.placements = next
	old := m.current.Load()
	m.publish(old, old.withPlacements(next))
}

// IsLoaded reports whether a list of instances has been applied.
func (m *Members) IsLoaded() bool {
	_, known := m.listAge()
	return known
}
