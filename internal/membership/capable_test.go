package membership

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

// unevenInstances returns a failure domain in which every tenth instance is large.
func unevenInstances(n int) []platform.Instance {
	all := make([]platform.Instance, n)
	for k := range all {
		all[k] = platform.Instance{ID: fmt.Sprint("i", k), FailureDomain: "a", Capacity: 0.2, PicksByCapacity: true}
		if k%10 == 0 {
			all[k].Capacity = 1.6
		}
	}
	return all
}

// Guards against a small instance that reads for its whole failure domain while large ones are there.
func TestCapableInstancesArePicked(t *testing.T) {
	is := is.New(t)
	all := unevenInstances(100)
	m := newMembers(&listAPI{list: platform.Inventory{Instances: all}}, all[3], 1)
	m.SetInstances(all)
	picked := m.PickCapable("read", 2)
	is.Equal(len(picked), 2)
	for _, i := range picked {
		is.Equal(i.Capacity, 1.6)
	}
	// More than there are large ones: all count.
	is.Equal(len(m.PickCapable("read", 20)), 20)
}

// Guards against two readers of different builds that each take others for the readers: the picks are
// those of the earlier build until the last instance of it is gone.
func TestPicksIgnoreCapacityWhileAnEarlierBuildIsListed(t *testing.T) {
	is := is.New(t)
	all := unevenInstances(100)
	all[50].PicksByCapacity = false
	m := newMembers(&listAPI{list: platform.Inventory{Instances: all}}, all[3], 1)
	m.SetInstances(all)
	is.Equal(m.PickCapable("read", 2), m.PickInstances("read", 2))
	upgraded := unevenInstances(100)
	m.SetInstances(upgraded)
	for _, i := range m.PickCapable("read", 2) {
		is.Equal(i.Capacity, 1.6)
	}
}

// Load pattern: one of many small groups gets most requests. Guards against its homes on small
// instances, against homes that not all instances agree on, and against the loss of an instance that
// moves homes although it is none.
func TestCapablePlacementUsesLargeInstances(t *testing.T) {
	is := is.New(t)
	all := unevenInstances(100)
	placement := Placement{PerDomain: 1, Capable: true}
	byGroup := make(map[string]Placement)
	for g := range 300 {
		byGroup[fmt.Sprint("g", g)] = placement
	}
	homes := make(map[string]int)
	var views []*Members
	for _, self := range all {
		m := newMembers(&listAPI{list: platform.Inventory{Instances: all}}, self, 1)
		m.SetInstances(all)
		m.SetPlacements(byGroup)
		views = append(views, m)
		for group := range byGroup {
			if m.IsHome(group) {
				is.Equal(self.Capacity, 1.6)
				is.Equal(m.Homes(group)[0].ID, self.ID)
				homes[group]++
			}
		}
	}
	is.Equal(len(homes), len(byGroup))
	for _, count := range homes {
		is.Equal(count, 1)
	}
	small, large := views[1], views[0]
	before := large.Homes("g1")[0]
	small.SetInstances(all[2:])
	large.SetInstances(append(all[:1:1], all[2:]...))
	is.Equal(large.Homes("g1")[0], before)
	is.Equal(small.HomesRanked("g1")[0].Capacity, 1.6)
	// Fewer large instances than homes can be left with: all are homes.
	few := unevenInstances(30)
	m := newMembers(&listAPI{list: platform.Inventory{Instances: few}}, few[1], 1)
	m.SetInstances(few)
	m.SetPlacements(byGroup)
	onSmall := 0
	for group := range byGroup {
		if m.HomesRanked(group)[0].Capacity < 1 {
			onSmall++
		}
	}
	is.True(onSmall > 0)
}
