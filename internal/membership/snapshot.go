package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
)

// snapshot is the view at one moment. Apart from the cache of homes it is
// never changed after it was published.
type snapshot struct {
	self platform.Instance
	// listed are all instances of the list, live those that are not leaving.
	listed  []platform.Instance
	live    []platform.Instance
	domains [][]platform.Instance
	peers   []platform.Instance
	leaving map[string]bool
	counts  homeCounts

	mu sync.Mutex
	// homes caches the homes of the groups asked for: ranking hashes every
	// instance, and routing asks for each statement.
	homes map[string]*homeSet
}

// newSnapshot builds a view. self says who this instance is; what the list
// says of its addresses is not used, and its word that it leaves is.
func newSnapshot(self platform.Instance, l list, counts homeCounts) *snapshot {
	s := &snapshot{counts: counts, listed: l.instances, leaving: make(map[string]bool), homes: make(map[string]*homeSet)}
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
		}
	}
	slices.SortFunc(s.live, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	s.domains = byDomain(s.live)
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

func (s *snapshot) same(o *snapshot) bool {
	return s.self == o.self && s.counts.same(o.counts) && slices.Equal(s.live, o.live) && slices.Equal(s.listed, o.listed) && maps.Equal(s.leaving, o.leaving)
}
