package membership

import "github.com/topazrock/topazrock/internal/platform"

// Homes returns the home instances of a group, those of this instance's
// failure domain first. The result must not be changed.
func (m *Members) Homes(group string) []platform.Instance {
	return m.current.Load().homesOf(group).nearest
}

// HomesRanked returns the same instances in an order that is the same on every
// instance with the same view, so that they can take turns. The result must
// not be changed.
func (m *Members) HomesRanked(group string) []platform.Instance {
	return m.current.Load().homesOf(group).ranked
}

// IsHome reports whether this instance is home to a group.
func (m *Members) IsHome(group string) bool { return m.current.Load().homesOf(group).self }

// Pick returns n instances of each failure domain for a duty, all of them
// where a failure domain has no more. Duties with different keys fall on
// different instances.
func (m *Members) Pick(duty string, n int) []platform.Instance {
	return instancesOf(pick(duty, m.current.Load().domains, n))
}

func (s *snapshot) homesOf(group string) *homeSet {
	s.mu.Lock()
	h, ok := s.homes[group]
	s.mu.Unlock()
	if ok {
		return h
	}
	h = s.newHomeSet(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.homes[group] = h
	return h
}

// distance is 0 for this instance, 1 inside its failure domain, else 2.
func (s *snapshot) distance(i platform.Instance) int {
	switch {
	case i.ID == s.self.ID:
		return 0
	case i.FailureDomain == s.self.FailureDomain:
		return 1
	default:
		return 2
	}
}
