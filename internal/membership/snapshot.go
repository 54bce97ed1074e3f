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
	peers   []platform.Instance
	// byID holds the live instances.
	byID       map[string]platform.Instance
	leaving    map[string]bool
	placements placements

	mu sync.Mutex
	// homes caches the homes of requested groups: computing them hashes every instance, and
	// routing needs them for each statement.
	homes map[string]*homeSet
	// picked caches the instances that were picked for tasks.
	picked map[pickKey][]platform.Instance
}

// pickKey names a task, the number of instances of each failure domain that it is for, and whether
// capable ones are preferred.
type pickKey struct {
	key     string
	count   int
	capable bool
}

// newSnapshot builds a snapshot. The configured self takes precedence over this instance's
// entry on the list, except that the entry can mark the instance as leaving.
func newSnapshot(self platform.Instance, l list, p placements) *snapshot {
	s := &snapshot{placements: p, listed: l.instances, leaving: make(map[string]bool), homes: make(map[string]*homeSet), picked: make(map[pickKey][]platform.Instance)}
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
	}
	for _, address := range l.leaving {
		s.leaving[address] = true
	}
	return s
}

func (s *snapshot) equal(other *snapshot) bool {
	return s.self == other.self && s.placements.equal(other.placements) && slices.Equal(s.live, other.live) && slices.Equal(s.listed, other.listed) && maps.Equal(s.leaving, other.leaving)
}

// domainsOf returns the instances of those failure domains that have homes under a placement.
func (s *snapshot) domainsOf(p Placement) [][]platform.Instance {
	if len(p.Domains) == 0 {
		return s.domains
	}
	var domains [][]platform.Instance
	for _, instances := range s.domains {
		if p.includes(instances[0].FailureDomain) {
			domains = append(domains, instances)
		}
	}
	return domains
}
