package membership

import (
	"slices"

	"github.com/topazrock/topazrock/internal/platform"
)

// homeSet holds the homes of one group in both orders.
type homeSet struct {
	scored  []ranked
	ranked  []platform.Instance
	nearest []platform.Instance
	self    bool
}

func (s *snapshot) newHomeSet(group string) *homeSet {
	h := &homeSet{scored: pick(group, s.domains, s.counts.of(group))}
	h.ranked = instancesOf(h.scored)
	h.nearest = slices.Clone(h.ranked)
	slices.SortStableFunc(h.nearest, func(a, b platform.Instance) int { return s.distance(a) - s.distance(b) })
	h.self = h.contains(s.self.ID)
	return h
}

func (h *homeSet) contains(id string) bool {
	return slices.ContainsFunc(h.ranked, func(i platform.Instance) bool { return i.ID == id })
}

// admits reports whether an instance that joins becomes one of the homes.
func (h *homeSet) admits(group string, joining platform.Instance, perFailureDomain int) bool {
	r := ranked{instance: joining, score: score(group, joining.ID)}
	peers := 0
	for _, other := range h.scored {
		if other.instance.FailureDomain != joining.FailureDomain {
			continue
		}
		if before(r, other) < 0 {
			return true
		}
		peers++
	}
	return peers < perFailureDomain
}
