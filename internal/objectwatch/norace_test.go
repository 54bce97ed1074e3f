//go:build !race

package objectwatch

// domainSizes lists the sizes of the failure domains in which the cost of following is measured,
// in instances.
var domainSizes = []int{10, 33, 100}
