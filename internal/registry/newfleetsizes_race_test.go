//go:build race

package registry

// newFleetSizes are the sizes of failure domains in tests of a start.
var newFleetSizes = []int{50}
