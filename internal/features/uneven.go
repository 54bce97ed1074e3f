package features

import "github.com/topazrock/topazrock/internal/platform"

// unevenSizes is the number of different capacities from which instances count as uneven. A
// fleet that is moved from one instance type to another has two for a while.
const unevenSizes = 3

// InstancesAreUneven reports whether the listed instances have unevenSizes or more different
// capacities. Instances that do not report their capacity are left out.
func InstancesAreUneven(instances []platform.Instance) bool {
	sizes := make(map[float64]bool)
	for _, i := range instances {
		if i.Capacity > 0 {
			sizes[i.Capacity] = true
		}
	}
	return len(sizes) >= unevenSizes
}
