package membership

import (
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

// The number of homes is set after the instances. Groups whose homes are already cached must
// get the new number too, or their statements would permanently take an additional hop.
func TestSetPlacementsUpdatesCachedGroups(t *testing.T) {
	is := is.New(t)
	all := newInstances(9)
	m := newMembers(&listAPI{list: platform.Inventory{Instances: all}}, all[3], 1)
	m.SetInstances(all)
	before := len(m.Homes("g"))
	is.True(before < len(all))
	changed := 0
	m.Subscribe(func() { changed++ })
	m.SetPlacements(map[string]Placement{"g": {PerDomain: 1 << 20}})
	is.Equal(len(m.Homes("g")), len(all))
	is.True(m.IsHome("g"))
	is.Equal(changed, 1)
	m.SetPlacements(map[string]Placement{"g": {PerDomain: 1}})
	is.Equal(len(m.Homes("g")), before)
}

// Groups become known one after the other while a fleet starts. Guards against a view of all instances
// that is built anew for each of them.
func TestPlacementsShareTheInstances(t *testing.T) {
	is := is.New(t)
	all := newInstances(100)
	m := newMembers(&listAPI{list: platform.Inventory{Instances: all}}, all[3], 1)
	m.SetInstances(all)
	live, picked := m.Live(), m.PickInstances("task", 2)
	m.SetPlacements(map[string]Placement{"g": {PerDomain: 1}})
	is.True(&m.Live()[0] == &live[0])
	is.Equal(m.PickInstances("task", 2), picked)
}
