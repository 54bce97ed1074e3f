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

// rank orders instances by their score for key, highest first.
func rank(key string, instances []platform.Instance) []ranked {
	list := make([]ranked, len(instances))
	for i, instance := range instances {
		list[i] = ranked{instance: instance, score: score(key, instance.ID)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.instance.ID, b.instance.ID))
	})
	return list
}

// pick returns the first n instances of each failure domain in the order of
// their score for key.
func pick(key string, instances []platform.Instance, n int) []platform.Instance {
	taken := make(map[string]int)
	var picked []platform.Instance
	for _, r := range rank(key, instances) {
		if taken[r.instance.FailureDomain] < n {
			taken[r.instance.FailureDomain]++
			picked = append(picked, r.instance)
		}
	}
	return picked
}
