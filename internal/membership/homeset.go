package membership

import (
	"slices"

	"github.com/topazrock/topazrock/internal/platform"
)

// homeSet holds the homes of one group: scored and ranked are ordered by score, nearest by
// locality.
type homeSet struct {
	scored       []scoredInstance
	ranked       []platform.Instance
	nearest      []platform.Instance
	includesSelf bool
}

func (s *snapshot) newHomeSet(group string) *homeSet {
	p := s.placements.forGroup(group)
	h := &homeSet{scored: pickPerDomain(group, s.domainsOf(p), p.PerDomain)}
	h.ranked = instancesOf(h.scored)
	h.nearest = slices.Clone(h.ranked)
	slices.SortStableFunc(h.nearest, func(a, b platform.Instance) int { return s.locality(a) - s.locality(b) })
	h.includesSelf = h.contains(s.self.ID)
	return h
}

func (h *homeSet) contains(id string) bool {
	return slices.ContainsFunc(h.ranked, func(i platform.Instance) bool { return i.ID == id })
}

// admitsJoining reports whether a joining instance becomes one of the homes.
func (h *homeSet) admitsJoining(group string, joining platform.Instance, p Placement) bool {
	if !p.includes(joining.FailureDomain) {
		return false
	}
	r := scoredInstance{instance: joining, score: rendezvousScore(group, joining.ID)}
	inDomain := 0
	for _, other := range h.scored {
		if other.instance.FailureDomain != joining.FailureDomain {
			continue
		}
		if compareScores(r, other) < 0 {
			return true
		}
		inDomain++
	}
	return inDomain < p.PerDomain
}
