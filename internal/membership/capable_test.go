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
