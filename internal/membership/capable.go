package membership

import "github.com/topazrock/topazrock/internal/platform"

// minCapacityPart is the part of the largest capacity in a failure domain from which on an instance
// counts as capable.
const minCapacityPart = 0.5

// PickCapable is like PickInstances for tasks whose cost grows with the failure domain: it prefers
// instances of high capacity.
//
// All instances of a failure domain must pick the same ones. Those of earlier builds do not take
// capacities into account, so that nobody in their failure domain does while one of them is listed.
func (m *Members) PickCapable(key string, n int) []platform.Instance {
	return m.current.Load().pick(pickKey{key, n, true})
}

// capableDomains returns the instances to pick n of, by failure domain.
func capableDomains(domains [][]platform.Instance, n int) [][]platform.Instance {
	var all [][]platform.Instance
	for _, instances := range domains {
		all = append(all, capableInstances(instances, n))
	}
	return all
}

// capableInstances returns the capable instances of a failure domain, or all if fewer than n are.
func capableInstances(instances []platform.Instance, n int) []platform.Instance {
	largest := 0.0
	for _, i := range instances {
		if !i.PicksByCapacity {
			return instances
		}
		largest = max(largest, i.Capacity)
	}
	var capable []platform.Instance
	for _, i := range instances {
		if i.Capacity >= minCapacityPart*largest {
			capable = append(capable, i)
		}
	}
	if len(capable) < n {
		return instances
	}
	return capable
}
