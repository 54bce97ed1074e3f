package membership

import "maps"

// homeCounts is how many homes groups have in each failure domain.
type homeCounts struct {
	usual   int
	byGroup map[string]int
}

func (c homeCounts) of(group string) int {
	if n, ok := c.byGroup[group]; ok {
		return n
	}
	return c.usual
}

func (c homeCounts) same(o homeCounts) bool {
	return c.usual == o.usual && maps.Equal(c.byGroup, o.byGroup)
}
