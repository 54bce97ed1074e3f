package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
)

// snapshot is the view at one point in time. Except for the cache of homes, it is not modified
// after it is published.
type snapshot struct {
	self platform.Instance
	// listed are all instances on the list, live those that are not leaving.
	listed  []platform.Instance
	live    []platform.Instance
	domains [][]platform.Instance
	// ownDomain are the live instances of this instance\'s failure domain.
	ownDomain []platform.Instance
	// capable and ownCapable are the same with the instances that are homes under a placement on
	// instances of high capacity.
	capable    [][]platform.Instance
	ownCapable []platform.Instance
	peers      []platform.Instance
	// byID holds the live instances.
	byID       map[string]platform.Instance
	leaving    map[string]bool
	placements placements

	mu sync.Mutex
	// homes caches the homes of requested groups: computing them hashes every instance, and
	// routing needs them for each statement.
	homes map[string]*homeSet
	// picks caches the instances that were picked for tasks. Snapshots of the same instances share it.
	picks *pickCache
}

// newSnapshot builds a snapshot. The configured self takes precedence over this instance's
// entry on the list, except that the entry can mark the instance as leaving.
func newSnapshot(self platform.Instance, l list, p placements) *snapshot {
	s := &snapshot{placements: p, listed: l.instances, leaving: make(map[string]bool), homes: make(map[string]*homeSet), picks: newPickCache()}
	byID := make(map[string]platform.Instance)
	for _, i := range l.instances {
		byID[i.ID] = i
	}
	self.Leaving = self.Leaving || byID[self.ID].Leaving
	byID[self.ID] = self
	s.self = self
	for _, i := range byID {
		if !i.Leaving {
			s.live = append(s.live, i)
		} else {
			delete(byID, i.ID)
		}
	}
	s.byID = byID
	slices.SortFunc(s.live, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	s.domains = groupByDomain(s.live)
	for _, i := range s.live {
		if i.ID != self.ID {
			s.peers = append(s.peers, i)
		}
		if i.FailureDomain == self.FailureDomain {
			s.ownDomain = append(s.ownDomain, i)
		}
	}
	s.capable = capableDomains(s.domains, minCapableHomes)
	s.ownCapable = capableInstances(s.ownDomain, minCapableHomes)
	for _, address := range l.leaving {
		s.leaving[address] = true
	}
	return s
}

// withPlacements returns a snapshot of the same instances with other placements. Groups become known one
// after the other while a fleet starts, and sorting all instances for each of them would be most of the
// start of a small instance.
func (s *snapshot) withPlacements(p placements) *snapshot {
	return &snapshot{
		self: s.self, listed: s.listed, live: s.live, domains: s.domains, ownDomain: s.ownDomain, capable: s.capable, ownCapable: s.ownCapable, peers: s.peers, byID: s.byID, leaving: s.leaving,
		placements: p, homes: make(map[string]*homeSet), picks: s.picks,
	}
}

func (s *snapshot) equal(other *snapshot) bool {
	return s.self == other.self && s.placements.equal(other.placements) && slices.Equal(s.live, other.live) && slices.Equal(s.listed, other.listed) && maps.Equal(s.leaving, other.leaving)
}

// domainsOf returns the instances that can be homes under a placement, by failure domain.
func (s *snapshot) domainsOf(p Placement) [][]platform.Instance {
	all := s.domains
	if p.Capable {
		all = s.capable
	}
	if len(p.Domains) == 0 {
		return all
	}
	var domains [][]platform.Instance
	for _, instances := range all {
		if p.includes(instances[0].FailureDomain) {
			domains = append(domains, instances)
		}
	}
	return domains
}

// ownDomainOf returns the instances of this instance's failure domain that can be homes under a
// placement.
func (s *snapshot) ownDomainOf(p Placement) []platform.Instance {
	if p.Capable {
		return s.ownCapable
	}
	return s.ownDomain
}
