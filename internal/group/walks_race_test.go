//go:build race

package group

// defaultModelWalks is lower under the race detector, which makes a walk ten times slower
// and finds nothing in it, because a walk has no second goroutine.
const defaultModelWalks = 1500
