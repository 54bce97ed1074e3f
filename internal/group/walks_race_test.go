//go:build race

package group

// defaultModelWalks is lower under the race detector: a walk has no second goroutine, so
// the detector finds nothing there and makes it ten times slower.
const defaultModelWalks = 1500
