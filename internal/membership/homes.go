package membership

import "github.com/topazrock/topazrock/internal/platform"

// Homes returns the home instances of a group, those in this instance's failure domain first.
// The result must not be modified.
func (m *Members) Homes(group string) []platform.Instance {
	return m.current.Load().homesOf(group).nearest
}

// HomesRanked returns the same instances in an order that is the same on every instance with
// the same view, so that all instances agree on how they take turns. The result must not be
// modified.
func (m *Members) HomesRanked(group string) []platform.Instance {
	return m.current.Load().homesOf(group).ranked
}

// IsHome reports whether this instance is a home of a group. It does not compute the other homes: an
// instance asks for each of the groups, and is home to few of them.
func (m *Members) IsHome(group string) bool { return m.current.Load().isHome(group) }

func (s *snapshot) isHome(group string) bool {
	p := s.placements.forGroup(group)
	if s.self.Leaving || !p.includes(s.self.FailureDomain) {
		return false
	}
	own := rendezvousScore(group, s.self.ID)
	candidates := s.ownDomainOf(p)
	isCandidate := false
	preferred := 0
	for k := range candidates {
		other := &candidates[k]
		isCandidate = isCandidate || other.ID == s.self.ID
		if score := rendezvousScore(group, other.ID); score > own || score == own && other.ID < s.self.ID {
			preferred++
		}
		if preferred >= p.PerDomain {
			return false
		}
	}
	return isCandidate
}

// PickInstances returns n instances of each failure domain for a task identified by key, or all
// instances of a failure domain with fewer. Tasks with different keys are spread over different
// instances.
func (m *Members) PickInstances(key string, n int) []platform.Instance {
	return m.current.Load().pick(pickKey{key, n, false})
}

// pick returns n instances of each failure domain for a task. It computes them once for each key: the
// callers ask for them many times a second, and each computation hashes every instance.
func (s *snapshot) pick(k pickKey) []platform.Instance {
	if picked, ok := s.picks.get(k); ok {
		return picked
	}
	domains := s.domains
	if k.capable {
		domains = capableDomains(domains, k.count)
	}
	return s.picks.put(k, instancesOf(pickPerDomain(k.key, domains, k.count)))
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

// locality returns 0 for this instance, 1 for others in its failure domain, and 2 for all
// others.
func (s *snapshot) locality(i platform.Instance) int {
	switch {
	case i.ID == s.self.ID:
		return 0
	case i.FailureDomain == s.self.FailureDomain:
		return 1
	default:
		return 2
	}
}
