package failover

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/platform"
)

// ranked is an instance with its weight for one group.
type ranked struct {
	id     string
	behind bool
	weight uint64
}

// rank returns the place of self among the instances, from 0, by rendezvous hash
// over the group's name. Instances that leave, or that share the failure domain
// of the trouble, come last: they are the likeliest to be gone as well. An
// instance that is not in the list, which lags, comes after all others.
func rank(group, self, troubled string, instances []platform.Instance) int {
	var list []ranked
	for _, i := range instances {
		list = append(list, ranked{
			id:     i.ID,
			behind: i.Leaving || (troubled != "" && i.FailureDomain == troubled),
			weight: xxhash.Sum64String(group + "\x00" + i.ID),
		})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.behind != b.behind {
			if a.behind {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	place := slices.IndexFunc(list, func(r ranked) bool { return r.id == self })
	if place < 0 {
		return len(list)
	}
	return place
}
