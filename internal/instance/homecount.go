package instance

import (
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// minShare is the least part of a member's connections with which an instance
	// is home to a group: one to follow the member, and two for statements, so that
	// one long statement does not hold up all others.
	minShare = 3
	// defaultShare is the part that a home gets where not every instance can be one.
	defaultShare = 4
	// minHomesPerDomain is how many homes a failure domain has at least where its part of the
	// connections allows it: the loss of one leaves its callers another one near.
	minHomesPerDomain = 2
	// maxHomesPerSlot is how many homes there may be for each slot of a member while every
	// instance is one.
	maxHomesPerSlot = 2
	// allInstances makes every instance of a failure domain a home.
	allInstances = 1 << 20
)

// fleetSize is how many instances there are, and in how many failure domains.
type fleetSize struct{ instances, domains int }

// fleetSizeOf counts instances and their failure domains. It is counted once for all groups:
// counted for each, a comparison of homes would take groups times instances.
func fleetSizeOf(instances []platform.Instance) fleetSize {
	domains := make(map[string]bool)
	for _, i := range instances {
		domains[i.FailureDomain] = true
	}
	return fleetSize{instances: len(instances), domains: len(domains)}
}

// homesPerDomain returns how many instances of each failure domain are homes to a group
// whose members limit their connections themselves; zero where they do not. While every
// instance can have the least share and they are not many more than a member has slots, every
// one is a home: no statement then takes a hop, and the loss of an instance is felt by its
// own callers alone.
//
// Past that, all homes of a group together have about as many requests at work at a member
// as it has slots, at one a home. Each home has a queue of its own and sends at least one
// request, so that more homes put a queue before the member that nobody orders. Their
// connections are divided among them as well: with thirty homes before five slots, the one
// that its whole failure domain sends to had three connections, and refused what the member
// had room for. Each home also polls every member of the group, whether it has callers or not.
func homesPerDomain(g document.Group, fleet fleetSize) int {
	if g.MemberConnections <= 0 || fleet.domains == 0 {
		return 0
	}
	if g.MemberConnections >= minShare*fleet.instances && !exceedsSlots(fleet, g) {
		return allInstances
	}
	byConnections := max(g.MemberConnections/defaultShare/fleet.domains, 1)
	bySlots := max(memberSlots(g)/fleet.domains, minHomesPerDomain)
	return min(byConnections, bySlots)
}

// crowds reports whether all instances as homes would be many more than a member has slots.
// Slots that are not known bound nothing.
func exceedsSlots(fleet fleetSize, g document.Group) bool {
	slots := memberSlots(g)
	return slots > 0 && fleet.instances > maxHomesPerSlot*slots
}

// memberSlots is how many statements one member of a group runs at once.
func memberSlots(g document.Group) int { return g.Slots / max(len(g.Members), 1) }

// evenShare is the part of a member's connections that one home may use. Half of them
// are divided evenly among the homes, and half among the failure domains first:
// callers come to the instances of their own domain, so that where a domain has fewer
// instances each has more to do. The parts of all homes sum to no more than the whole.
func evenShare(total int, homes []platform.Instance, self platform.Instance) int {
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
