//go:build !race

package objectwatch

// domainSizes lists the sizes of the failure domains in which the cost of following is measured,
// in instances.
var domainSizes = []int{10, 33, 100}

// returningDomain is the size of the failure domain of which more than half returns at once.
const returningDomain = 100
