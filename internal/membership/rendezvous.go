package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/platform"
)

// scoredInstance is an instance with its rendezvous score for one key.
type scoredInstance struct {
	instance platform.Instance
	score    uint64
}

// rendezvousScore returns the rendezvous hash of a key and an instance. Instances with the same
// list compute the same order, and an instance that joins or leaves moves only the keys for
// which it has a high enough score.
func rendezvousScore(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(key)
	d.WriteString("\x00")
	d.WriteString(id)
	return d.Sum64()
}

// compareScores orders by descending score, then by ID.
func compareScores(a, b scoredInstance) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.instance.ID, b.instance.ID))
}

// pickPerDomain returns the n instances with the highest scores for key in each failure domain,
// ordered by score. It hashes each instance once and sorts only the instances it returns.
func pickPerDomain(key string, domains [][]platform.Instance, n int) []scoredInstance {
	var picked []scoredInstance
	for _, instances := range domains {
		picked = append(picked, topScored(key, instances, n)...)
	}
	slices.SortFunc(picked, compareScores)
	return picked
}

// topScored returns the n instances with the highest scores for key, ordered by score.
func topScored(key string, instances []platform.Instance, n int) []scoredInstance {
	list := make([]scoredInstance, 0, min(n, len(instances))+1)
	for i := range instances {
		s := rendezvousScore(key, instances[i].ID)
		if len(list) == n && s < list[n-1].score {
			continue
		}
		list = insertBounded(list, scoredInstance{instance: instances[i], score: s}, n)
	}
	return list
}

// groupByDomain partitions instances by failure domain.
func groupByDomain(instances []platform.Instance) [][]platform.Instance {
	indexes := make(map[string]int)
	var domains [][]platform.Instance
	for _, instance := range instances {
		i, known := indexes[instance.FailureDomain]
		if !known {
			i = len(domains)
			indexes[instance.FailureDomain] = i
			domains = append(domains, nil)
		}
		domains[i] = append(domains[i], instance)
	}
	return domains
}

// insertBounded inserts r into an ordered list and truncates the list to n entries.
func insertBounded(list []scoredInstance, r scoredInstance, n int) []scoredInstance {
	position, _ := slices.BinarySearchFunc(list, r, compareScores)
	list = slices.Insert(list, position, r)
	return list[:min(len(list), n)]
}

func instancesOf(list []scoredInstance) []platform.Instance {
	instances := make([]platform.Instance, len(list))
	for i, r := range list {
		instances[i] = r.instance
	}
	return instances
}
