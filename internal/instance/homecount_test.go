package instance

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/platform"
)

// Fleets of several sizes share the connections that members accept. All homes together
// stay within that number, every instance of a small fleet is a home, and in larger fleets
// there are at most as many homes as a member has slots, except for the minimum of two
// homes per failure domain.
func TestHomesFitTheMembersConnectionsAndSlots(t *testing.T) {
	for _, c := range []struct{ connections, slots, instances, domains, want int }{
		{34, 5, 8, 3, allInstances},
		{34, 5, 9, 3, allInstances}, // an instance that was replaced is still listed
		{55, 5, 7, 3, allInstances},
		{125, 5, 35, 5, 2}, // enough connections for all, but seven instances per slot
		{125, 5, 10, 5, allInstances},
		{34, 0, 8, 3, allInstances}, // the members' slots are unknown
		{36, 3, 77, 4, 2},
		{48, 6, 59, 3, 2},
		{176, 6, 74, 4, 2},
		{125, 5, 295, 5, 2},
		{1500, 50, 7000, 7, 7},
		{500, 50, 295, 5, 10},
		{100, 50, 295, 5, 5},
		{10, 2, 40, 4, 1},
	} {
		t.Run(fmt.Sprintf("%d connections %d slots %d instances", c.connections, c.slots, c.instances), func(t *testing.T) {
			is := is.New(t)
			var instances []platform.Instance
			for i := range c.instances {
				instances = append(instances, platform.Instance{ID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % c.domains)})
			}
			members := make([]document.Member, 3)
			got := homesPerDomain(document.Group{MemberConnections: c.connections, Members: members, Slots: c.slots * len(members)}, fleetSizeOf(instances))
			is.Equal(got, c.want)
			if got != allInstances && got > 1 {
				is.True(got*c.domains*defaultShare <= c.connections)
				is.True(got*c.domains <= max(c.slots, minHomesPerDomain*c.domains))
			}
		})
	}
}

// Three failure domains have four, two and two instances and the same number of callers
// each. The shares follow the callers and never exceed the member's connections in total.
func TestEvenSharesStayWithinTheTotal(t *testing.T) {
	is := is.New(t)
	var homes []platform.Instance
	for i, domain := range []string{"a", "a", "a", "a", "b", "b", "c", "c"} {
		homes = append(homes, platform.Instance{ID: fmt.Sprint(i), FailureDomain: domain})
	}
	is.Equal(evenShare(34, homes, homes[0]), 3)
	is.Equal(evenShare(34, homes, homes[4]), 4)
	is.Equal(evenShare(34, homes, platform.Instance{FailureDomain: "d"}), 0)
	for total := range 200 {
		sum := 0
		for _, i := range homes {
			sum += evenShare(total, homes, i)
		}
		is.True(sum <= total)
	}
}

// BenchmarkPlacements measures the placements of one reconciliation where each of 295
// instances has twice as many groups.
func BenchmarkPlacements(b *testing.B) {
	live := fleetOf(295, 5)
	groups := make([]VersionedGroup, 2*len(live))
	for i := range groups {
		groups[i].Group = document.Group{Name: fmt.Sprint(i), MemberConnections: 125, Members: make([]document.Member, 3), Slots: 15}
	}
	for b.Loop() {
		placements(groups, fleetSizeOf(live), false)
	}
}
