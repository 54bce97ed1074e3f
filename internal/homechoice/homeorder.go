package homechoice

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/platform"
)

// OrderForOwner orders homes for units that may run only on connections of one owner. The order
// of failure domains is kept; within a failure domain, a hash of the owner and the home decides.
// Each home thus serves some of the owners, on connections that it keeps open for them.
//
// It handles tens of workspaces of very unequal size on homes with a few connections each: if one
// home served all callers of a failure domain, most statements would open a connection while the
// connections of the other homes are idle.
func OrderForOwner(homes []platform.Instance, owner string) []platform.Instance {
	if owner == "" || len(homes) < 2 {
		return homes
	}
	rank := make(map[string]int)
	for _, i := range homes {
		if _, known := rank[i.FailureDomain]; !known {
			rank[i.FailureDomain] = len(rank)
		}
	}
	score := func(i platform.Instance) uint64 { return xxhash.Sum64String(owner + "\x00" + i.ID) }
	ordered := slices.Clone(homes)
	slices.SortStableFunc(ordered, func(a, b platform.Instance) int {
		return cmp.Or(cmp.Compare(rank[a.FailureDomain], rank[b.FailureDomain]), cmp.Compare(score(b), score(a)))
	})
	return ordered
}
