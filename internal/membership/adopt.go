package membership

import "github.com/topazrock/topazrock/internal/platform"

// Adopt takes a list of instances that another part keeps up to date, in place of
// those that Run reads.
func (m *Members) Adopt(instances []platform.Instance) {
	if err := m.accept(newList(instances, nil, m.options.Clock.Now())); err != nil {
		m.log.Info("List of instances was not taken.", "instances", len(instances), "error", err)
	}
}

// SetHomeCounts sets the number of homes in each failure domain for single groups; the
// others have that of the options. The map must not be changed afterwards.
func (m *Members) SetHomeCounts(byGroup map[string]int) {
	m.mu.Lock()
	next := homeCounts{usual: m.options.PerFailureDomain, byGroup: byGroup}
	changed := !next.same(m.counts)
	m.counts = next
	m.mu.Unlock()
	if changed {
		m.rebuild()
	}
}

// Known reports whether the instances have been learned once.
func (m *Members) Known() bool {
	_, known := m.age()
	return known
}
