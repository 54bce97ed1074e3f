package instance

import (
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// leastShare is the least part of a member's connections with which an instance
	// is home to a group: one to follow the member, and two for statements, so that
	// one long statement does not hold up all others.
	leastShare = 3
	// usualShare is the part that a home gets where not every instance can be one.
	usualShare = 4
	// everyInstance makes every instance of a failure domain a home.
	everyInstance = 1 << 20
)

// homesPerDomain returns how many instances of each failure domain are homes, where
// members limit their connections themselves. While every instance can have the
// least share, every one is a home: no statement then takes a hop, and the loss of
// an instance is felt by its own callers alone. Past that, as many are homes as can
// have the usual share, and the others send their statements to them.
func homesPerDomain(groups []document.Group, instances []platform.Instance) int {
	least := 0
	for _, g := range groups {
		if n := g.MemberConnections; n > 0 && (least == 0 || n < least) {
			least = n
		}
	}
	domains := make(map[string]bool)
	for _, i := range instances {
		domains[i.FailureDomain] = true
	}
	if least == 0 || len(domains) == 0 {
		return 0
	}
	if least >= leastShare*len(instances) {
		return everyInstance
	}
	return max(least/usualShare/len(domains), 1)
}

// evenPart is the part of a member's connections that one home may use. Half of them
// are divided evenly among the homes, and half among the failure domains first:
// callers come to the instances of their own domain, so that where a domain has fewer
// instances each has more to do. The parts of all homes sum to no more than the whole.
func evenPart(total int, homes []platform.Instance, self platform.Instance) int {
	domains := make(map[string]int)
	for _, i := range homes {
		domains[i.FailureDomain]++
	}
	mine := domains[self.FailureDomain]
	if mine == 0 {
		return 0
	}
	return (total*len(homes) + total*len(domains)*mine) / (2 * len(domains) * mine * len(homes))
}
