package membership

import "github.com/topazrock/topazrock/internal/platform"

// Adopt takes a list of instances that another part keeps up to date, in place of
// those that Run reads.
func (m *Members) Adopt(instances []platform.Instance) {
	if err := m.accept(newList(instances, nil, m.options.Clock.Now())); err != nil {
		m.log.Info("List of instances was not taken.", "instances", len(instances), "error", err)
	}
}

// SetPerFailureDomain changes the number of homes of a group in each failure domain.
func (m *Members) SetPerFailureDomain(n int) {
	m.mu.Lock()
	changed := m.options.PerFailureDomain != n
	m.options.PerFailureDomain = n
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
