package executor

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/platform"
)

// forOwner orders homes for units that run on connections of one owner alone: those of a
// failure domain stay before those of the next, and among them a hash of the owner decides. Each
// home then serves a part of the owners, on connections that it keeps for them.
//
// The load pattern is tens of workspaces of very unequal size before homes that hold a few
// connections each: with one home for all callers of a failure domain, most statements open a
// connection, while those of the other homes lie idle.
func forOwner(homes []platform.Instance, owner string) []platform.Instance {
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
