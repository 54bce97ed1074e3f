package failover

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/platform"
)

// rankedInstance is an instance with its rendezvous weight for one group.
type rankedInstance struct {
	id            string
	deprioritized bool
	weight        uint64
}

// rank returns the position of self among the instances, from 0, by rendezvous hash
// over the group's name. Instances that are leaving, or that share the failure domain
// of a failing primary, come last: they are the most likely to fail as well. The list may
// be outdated; an instance that is not in it ranks after all others.
func rank(group, self, failingDomain string, instances []platform.Instance) int {
	var list []rankedInstance
	for _, i := range instances {
		list = append(list, rankedInstance{
			id:            i.ID,
			deprioritized: i.Leaving || (failingDomain != "" && i.FailureDomain == failingDomain),
			weight:        xxhash.Sum64String(group + "\x00" + i.ID),
		})
	}
	slices.SortFunc(list, func(a, b rankedInstance) int {
		if a.deprioritized != b.deprioritized {
			if a.deprioritized {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	index := slices.IndexFunc(list, func(r rankedInstance) bool { return r.id == self })
	if index < 0 {
		return len(list)
	}
	return index
}
