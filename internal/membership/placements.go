package membership

import "maps"

// placements holds the placement of homes by group.
type placements struct {
	defaultCount int
	byGroup      map[string]Placement
}

func (p placements) forGroup(group string) Placement {
	if placement, ok := p.byGroup[group]; ok {
		return placement
	}
	return Placement{PerDomain: p.defaultCount}
}

func (p placements) equal(other placements) bool {
	return p.defaultCount == other.defaultCount && maps.EqualFunc(p.byGroup, other.byGroup, Placement.equal)
}
