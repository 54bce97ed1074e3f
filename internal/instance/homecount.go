package instance

import (
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// minShare is the minimum number of connections to a member with which an instance is
	// home to a group: one to follow the member, and two for statements, so that one long
	// statement does not block all others.
	minShare = 3
	// defaultShare is the number of connections to a member that a home gets where not
	// every instance can be a home.
	defaultShare = 4
	// minHomesPerDomain is the minimum number of homes in a failure domain if its part of
	// the connections allows it: when one fails, its callers still have another one
	// nearby.
	minHomesPerDomain = 2
	// maxHomesPerSlot is the maximum number of instances for each slot of a member with
	// which every instance is a home.
	maxHomesPerSlot = 2
	// allInstances makes every instance of a failure domain a home.
	allInstances = 1 << 20
)

// fleetSize is the number of instances and of their failure domains.
type fleetSize struct{ instances, domains int }

// fleetSizeOf counts instances and their failure domains. It is called once for all groups:
// counting for each group would make a reconciliation of homes cost groups times instances.
func fleetSizeOf(instances []platform.Instance) fleetSize {
	domains := make(map[string]bool)
	for _, i := range instances {
		domains[i.FailureDomain] = true
	}
	return fleetSize{instances: len(instances), domains: len(domains)}
}

// homesPerDomain returns how many instances of each failure domain are homes to a group
// whose members limit their own connections, and zero for other groups. Every instance is a
// home as long as each can have minShare connections and there are at most maxHomesPerSlot
// instances for each slot of a member: no statement is then forwarded to another instance,
// and the loss of an instance affects its own callers only.
//
// Beyond that, the number of homes of a group is about the number of slots of a member, so
// that one request from each home fills the member. Each home has its own queue and sends
// at least one request at a time, so with more homes a second queue would build up at the
// member, which no admission control orders. The connections would also be divided among
// more homes: with thirty homes for five slots, the home that received all requests of its
// failure domain had three connections, and refused requests that the member could have
// served. Each home also polls every member of the group, whether it has callers or not.
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

// exceedsSlots reports whether there are more than maxHomesPerSlot instances for each slot
// of a member. It returns false if the number of slots is unknown.
func exceedsSlots(fleet fleetSize, g document.Group) bool {
	slots := memberSlots(g)
	return slots > 0 && fleet.instances > maxHomesPerSlot*slots
}

// memberSlots returns how many statements one member of a group runs concurrently.
func memberSlots(g document.Group) int { return g.Slots / max(len(g.Members), 1) }

// evenShare returns how many of a member's connections the home self may use. Half of them
// are divided evenly among the homes. The other half is divided evenly among the failure
// domains and then among the homes of each: callers connect to instances of their own
// failure domain, so in a failure domain with fewer homes each home has more work. The
// shares of all homes sum to at most total.
func evenShare(total int, homes []platform.Instance, self platform.Instance) int {
	domains := make(map[string]int)
	for _, i := range homes {
		domains[i.FailureDomain]++
	}
	inOwnDomain := domains[self.FailureDomain]
	if inOwnDomain == 0 {
		return 0
	}
	return (total*len(homes) + total*len(domains)*inOwnDomain) / (2 * len(domains) * inOwnDomain * len(homes))
}
