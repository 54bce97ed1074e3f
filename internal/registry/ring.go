package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/platform"
)

// ring orders the other instances by a hash of their IDs, from the one behind self
// on. Neighbours on it are of any failure domain, so that the loss of a whole one
// leaves most of its instances with somebody who watches them.
func ring(all []platform.Instance, self string) []platform.Instance {
	others := slices.DeleteFunc(slices.Clone(all), func(i platform.Instance) bool { return i.ID == self })
	from := xxhash.Sum64String(self)
	// The subtraction wraps around, so that whoever comes next has the least distance.
	distance := func(i platform.Instance) uint64 { return xxhash.Sum64String(i.ID) - from }
	slices.SortFunc(others, func(a, b platform.Instance) int { return cmp.Compare(distance(a), distance(b)) })
	return others
}
