package membership

import "github.com/topazrock/topazrock/internal/platform"

// SetInstances sets a list of instances that is maintained elsewhere, instead of the lists that
// Run reads.
func (m *Members) SetInstances(instances []platform.Instance) {
	if err := m.applyList(newList(instances, nil, m.options.Clock.Now())); err != nil {
		m.log.Info("List of instances rejected.", "instances", len(instances), "error", err)
	}
}

// SetHomeCounts sets the number of homes in each failure domain for individual groups; all
// other groups use Options.PerFailureDomain. The map must not be modified afterwards.
func (m *Members) SetHomeCounts(byGroup map[string]int) {
	m.mu.Lock()
	next := homeCounts{defaultCount: m.options.PerFailureDomain, byGroup: byGroup}
	changed := !next.equal(m.homeCounts)
	m.homeCounts = next
	m.mu.Unlock()
	if changed {
		m.publishSnapshot()
	}
}

// IsLoaded reports whether a list of instances has been applied.
func (m *Members) IsLoaded() bool {
	_, known := m.listAge()
	return known
}
