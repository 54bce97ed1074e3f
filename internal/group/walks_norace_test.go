//go:build !race

package group

// defaultModelWalks is the number of random walks of the model in an ordinary test run.
const defaultModelWalks = 12000
