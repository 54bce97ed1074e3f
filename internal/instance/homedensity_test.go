package instance

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/membership"
)

// groupsIn returns groups of three members in the given failure domains.
func groupsIn(count int, domains ...string) []VersionedGroup {
	var members []document.Member
	for i := range 3 {
		members = append(members, document.Member{Address: fmt.Sprint(i), FailureDomain: domains[i%len(domains)]})
	}
	groups := make([]VersionedGroup, count)
	for i := range groups {
		groups[i].Group = document.Group{Name: fmt.Sprint("g", i), MemberConnections: 269, Members: members, Slots: 15}
	}
	return groups
}

// Load pattern: a thousand groups with two requests a second each. Guards against homes that cost
// more than the requests they serve, at this size, at twice the instances and with few instances.
func TestManySmallGroupsHaveFewHomes(t *testing.T) {
	for _, c := range []struct {
		groups, instances int
		few               bool
	}{
		{1000, 985, true},
		{1000, 1970, true},
		{15000, 7382, true},
		{1000, 20, true},
		{20, 295, false},
		{8, 31, false},
		{3, 7, false},
		{6, 19, false},
	} {
		t.Run(fmt.Sprintf("%d groups %d instances", c.groups, c.instances), func(t *testing.T) {
			is := is.New(t)
			var d homeDensity
			groups := groupsIn(c.groups, "d0", "d1", "d2")
			is.Equal(d.update(groups, len(groups), fleetSizeOf(fleetOf(c.instances, 5))), c.few)
		})
	}
}

// Members become known one group after the other while a fleet starts. Guards against homes that are
// started for the first groups and retired for the later ones.
func TestHomeDensityCountsGroupsWithoutMembers(t *testing.T) {
	is := is.New(t)
	fleet := fleetSizeOf(fleetOf(985, 5))
	var d homeDensity
	for known := 10; known <= 1000; known += 10 {
		is.True(d.update(groupsIn(known, "d0", "d1", "d2"), 1000, fleet))
	}
}

// Instances come and go near the bound. Guards against homes of all groups that move each time.
func TestHomeDensityKeepsItsDecisionNearTheBound(t *testing.T) {
	is := is.New(t)
	var d homeDensity
	groups := groupsIn(1000, "d0", "d1", "d2")
	is.True(!d.update(groups, len(groups), fleetSizeOf(fleetOf(2600, 5))))
	is.True(d.update(groups, len(groups), fleetSizeOf(fleetOf(2400, 5))))
	is.True(d.update(groups, len(groups), fleetSizeOf(fleetOf(2600, 5))))
	is.True(!d.update(groups, len(groups), fleetSizeOf(fleetOf(5100, 5))))
}

// Guards against a group with one home: the loss of one instance would leave it without any.
func TestFewHomesAreNextToTheMembersAndAtLeastTwo(t *testing.T) {
	is := is.New(t)
	three := groupsIn(1, "d2", "d0", "d1")[0].Group
	is.Equal(fewHomes(three), membership.Placement{PerDomain: 1, Domains: []string{"d0", "d1", "d2"}, Capable: true})
	one := groupsIn(1, "d2")[0].Group
	is.Equal(fewHomes(one), membership.Placement{PerDomain: 2, Domains: []string{"d2"}, Capable: true})
	none := document.Group{Name: "g", Members: make([]document.Member, 3)}
	is.Equal(fewHomes(none), membership.Placement{PerDomain: 2, Capable: true})
}
