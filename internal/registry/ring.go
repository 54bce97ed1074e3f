package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/platform"
)

// ringSuccessors returns the other instances in the order of a hash ring over their IDs,
// starting with the successor of self. Neighbours on the ring can belong to any failure domain,
// so that when a whole failure domain is lost, most of its instances are still monitored by an
// instance outside it.
func ringSuccessors(all []platform.Instance, self string) []platform.Instance {
	others := slices.DeleteFunc(slices.Clone(all), func(i platform.Instance) bool { return i.ID == self })
	from := xxhash.Sum64String(self)
	// The subtraction wraps around, so that the next instance on the ring has the smallest
	// distance.
	distance := func(i platform.Instance) uint64 { return xxhash.Sum64String(i.ID) - from }
	slices.SortFunc(others, func(a, b platform.Instance) int { return cmp.Compare(distance(a), distance(b)) })
	return others
}
