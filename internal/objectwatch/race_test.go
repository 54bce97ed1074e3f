//go:build race

package objectwatch

// domainSizes omits the largest failure domain under the race detector: it runs the same
// goroutines as the smaller ones and takes ten times as long.
var domainSizes = []int{10, 33}

// returningDomain is the size of the failure domain of which more than half returns at once.
const returningDomain = 40
