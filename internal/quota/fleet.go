package quota

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/platform"
)

// duty is the key by which limiters are picked.
const duty = "quota.limit"

// Fleet is the view of the other instances; membership.Members implements it.
type Fleet interface {
	Self() platform.Instance
	// Known reports whether the others have been learned once.
	Known() bool
	// Listed returns all instances that the platform lists, those that leave included.
	Listed() []platform.Instance
	// Live returns the instances that are not leaving, in the order of their IDs.
	Live() []platform.Instance
	// Pick returns n instances of each failure domain for a duty.
	Pick(duty string, n int) []platform.Instance
}

// layout names the limiters of each failure domain. It is made anew when the view changes.
type layout struct {
	self platform.Instance
	// near holds the limiters of each shard in this instance's failure domain, in the order
	// in which they are taken, and far those of the other failure domains.
	near [shardCount][]platform.Instance
	far  [shardCount][][]platform.Instance
	byID map[string]platform.Instance
}

// newLayout chooses the limiters. A failure domain has about as many as the root of the number
// of its instances: each instance then delegates to so few that renewing costs little, and each
// limiter has so few to serve that its load stays small as well.
func newLayout(f Fleet) *layout {
	l := &layout{self: f.Self(), byID: make(map[string]platform.Instance)}
	l.byID[l.self.ID] = l.self
	for domain, all := range limitersByDomain(f) {
		for _, i := range all {
			l.byID[i.ID] = i
		}
		for shard := range shardCount {
			ranked := rank(shard, all)
			if domain == l.self.FailureDomain {
				l.near[shard] = ranked
			} else {
				l.far[shard] = append(l.far[shard], ranked)
			}
		}
	}
	return l
}

// limitersByDomain picks the limiters of each failure domain.
func limitersByDomain(f Fleet) map[string][]platform.Instance {
	sizes := make(map[string]int)
	largest := 0
	for _, i := range f.Live() {
		sizes[i.FailureDomain]++
		largest = max(largest, sizes[i.FailureDomain])
	}
	picked := make(map[string][]platform.Instance)
	for _, i := range f.Pick(duty, limitersOf(largest)) {
		domain := i.FailureDomain
		if len(picked[domain]) < limitersOf(sizes[domain]) {
			picked[domain] = append(picked[domain], i)
		}
	}
	return picked
}

// limitersOf is how many limiters a number of instances has: the largest power of two within
// the number's root, so that it changes seldom.
func limitersOf(instances int) int {
	return 1 << int(math.Log2(math.Sqrt(float64(max(instances, 1)))))
}

// rank orders the limiters of a failure domain for a shard by rendezvous hash.
func rank(shard int, limiters []platform.Instance) []platform.Instance {
	score := func(i platform.Instance) uint64 {
		return xxhash.Sum64String(i.ID + "\x00" + strconv.Itoa(shard))
	}
	ranked := slices.Clone(limiters)
	slices.SortFunc(ranked, func(a, b platform.Instance) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// nearest returns the limiter of a shard in this instance's failure domain, without those that
// are passed by: this instance itself where no other one is to be had.
func (l *layout) nearest(shard int, passed func(id string) bool) platform.Instance {
	if i, ok := firstOf(l.near[shard], passed); ok {
		return i
	}
	return l.self
}

// others returns the limiters of a shard in the other failure domains.
func (l *layout) others(shard int, passed func(id string) bool) []platform.Instance {
	var all []platform.Instance
	for _, ranked := range l.far[shard] {
		if i, ok := firstOf(ranked, passed); ok {
			all = append(all, i)
		}
	}
	return all
}

// firstOf returns the first instance that is not passed by.
func firstOf(ranked []platform.Instance, passed func(id string) bool) (platform.Instance, bool) {
	for _, i := range ranked {
		if !passed(i.ID) {
			return i, true
		}
	}
	return platform.Instance{}, false
}
