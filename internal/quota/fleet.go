package quota

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/platform"
)

// limiterPickKey is the key of Fleet.PickInstances that selects the limiters.
const limiterPickKey = "quota.limit"

// Fleet provides this instance's view of all instances; membership.Members implements it.
type Fleet interface {
	Self() platform.Instance
	// IsLoaded reports whether the list of instances has been received at least once.
	IsLoaded() bool
	// ListedInstances returns all instances that the platform lists, including those that are leaving.
	ListedInstances() []platform.Instance
	// Live returns the instances that are not leaving, ordered by ID.
	Live() []platform.Instance
	// PickInstances returns up to n instances of each failure domain. Different keys pick different ones.
	PickInstances(key string, n int) []platform.Instance
}

// assignment maps shards to limiters. A new one is computed when the view of the instances
// changes.
type assignment struct {
	self platform.Instance
	// sameDomain holds, for each shard, the limiters in this instance's failure domain in order
	// of preference. otherDomains holds the same for each of the other failure domains.
	sameDomain   [shardCount][]platform.Instance
	otherDomains [shardCount][][]platform.Instance
	byID         map[string]platform.Instance
}

// newAssignment selects the limiters. Their number in a failure domain is about the square root of
// the number of its instances: each instance then delegates to so few limiters that renewals
// are cheap, and each limiter serves so few instances that its load stays small.
func newAssignment(f Fleet) *assignment {
	a := &assignment{self: f.Self(), byID: make(map[string]platform.Instance)}
	a.byID[a.self.ID] = a.self
	for domain, limiters := range limitersByDomain(f) {
		for _, limiter := range limiters {
			a.byID[limiter.ID] = limiter
		}
		for shard := range shardCount {
			ranked := rankLimiters(shard, limiters)
			if domain == a.self.FailureDomain {
				a.sameDomain[shard] = ranked
			} else {
				a.otherDomains[shard] = append(a.otherDomains[shard], ranked)
			}
		}
	}
	return a
}

// limitersByDomain selects the limiters of each failure domain.
func limitersByDomain(f Fleet) map[string][]platform.Instance {
	sizes := make(map[string]int)
	largest := 0
	for _, i := range f.Live() {
		sizes[i.FailureDomain]++
		largest = max(largest, sizes[i.FailureDomain])
	}
	picked := make(map[string][]platform.Instance)
	for _, i := range f.PickInstances(limiterPickKey, limiterCount(largest)) {
		domain := i.FailureDomain
		if len(picked[domain]) < limiterCount(sizes[domain]) {
			picked[domain] = append(picked[domain], i)
		}
	}
	return picked
}

// limiterCount returns the number of limiters for a number of instances: the largest power of
// two that does not exceed its square root, so that it rarely changes.
func limiterCount(instances int) int {
	return 1 << int(math.Log2(math.Sqrt(float64(max(instances, 1)))))
}

// rankLimiters orders the limiters of a failure domain for a shard by rendezvous hash.
func rankLimiters(shard int, limiters []platform.Instance) []platform.Instance {
	score := func(i platform.Instance) uint64 {
		return xxhash.Sum64String(i.ID + "\x00" + strconv.Itoa(shard))
	}
	ranked := slices.Clone(limiters)
	slices.SortFunc(ranked, func(a, b platform.Instance) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// sameDomainLimiter returns the first limiter of a shard in this instance's failure domain that
// is not skipped, or this instance itself if there is none.
func (a *assignment) sameDomainLimiter(shard int, skip func(id string) bool) platform.Instance {
	if i, ok := firstNotSkipped(a.sameDomain[shard], skip); ok {
		return i
	}
	return a.self
}

// otherDomainLimiters returns the first limiter of a shard that is not skipped in each of the
// other failure domains.
func (a *assignment) otherDomainLimiters(shard int, skip func(id string) bool) []platform.Instance {
	var all []platform.Instance
	for _, ranked := range a.otherDomains[shard] {
		if i, ok := firstNotSkipped(ranked, skip); ok {
			all = append(all, i)
		}
	}
	return all
}

// firstNotSkipped returns the first instance that is not skipped.
func firstNotSkipped(ranked []platform.Instance, skip func(id string) bool) (platform.Instance, bool) {
	for _, i := range ranked {
		if !skip(i.ID) {
			return i, true
		}
	}
	return platform.Instance{}, false
}
