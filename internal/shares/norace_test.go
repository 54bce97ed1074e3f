//go:build !race

package shares

const defaultSeedBatches = 2
