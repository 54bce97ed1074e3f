package membership

import "maps"

// homeCounts is the number of homes in each failure domain, by group.
type homeCounts struct {
	defaultCount int
	byGroup      map[string]int
}

func (c homeCounts) forGroup(group string) int {
	if n, ok := c.byGroup[group]; ok {
		return n
	}
	return c.defaultCount
}

func (c homeCounts) equal(other homeCounts) bool {
	return c.defaultCount == other.defaultCount && maps.Equal(c.byGroup, other.byGroup)
}
