package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/platform"
)

// ranked is an instance with its score for one key.
type ranked struct {
	instance platform.Instance
	score    uint64
}

// score is the rendezvous hash: instances that agree on the list agree on the
// order, and a joining or leaving instance moves only the keys it wins.
func score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(key)
	d.WriteString("\x00")
	d.WriteString(id)
	return d.Sum64()
}

// before orders by score, highest first.
func before(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.instance.ID, b.instance.ID))
}

// pick returns the first n instances of each failure domain in the order of
// their score for key. It hashes each instance once and sorts only those taken.
func pick(key string, domains [][]platform.Instance, n int) []ranked {
	var picked []ranked
	for _, instances := range domains {
		picked = append(picked, best(key, instances, n)...)
	}
	slices.SortFunc(picked, before)
	return picked
}

// best returns the n instances with the highest scores for key, in order.
func best(key string, instances []platform.Instance, n int) []ranked {
	list := make([]ranked, 0, min(n, len(instances))+1)
	for i := range instances {
		s := score(key, instances[i].ID)
		if len(list) == n && s < list[n-1].score {
			continue
		}
		list = insert(list, ranked{instance: instances[i], score: s}, n)
	}
	return list
}

// byDomain parts instances by failure domain.
func byDomain(instances []platform.Instance) [][]platform.Instance {
	index := make(map[string]int)
	var domains [][]platform.Instance
	for _, instance := range instances {
		i, known := index[instance.FailureDomain]
		if !known {
			i = len(domains)
			index[instance.FailureDomain] = i
			domains = append(domains, nil)
		}
		domains[i] = append(domains[i], instance)
	}
	return domains
}

// insert puts r into an ordered list of at most n.
func insert(list []ranked, r ranked, n int) []ranked {
	at, _ := slices.BinarySearchFunc(list, r, before)
	list = slices.Insert(list, at, r)
	return list[:min(len(list), n)]
}

func instancesOf(list []ranked) []platform.Instance {
	instances := make([]platform.Instance, len(list))
	for i, r := range list {
		instances[i] = r.instance
	}
	return instances
}
