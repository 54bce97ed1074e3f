//go:build !race

package shares

const defaultBatches = 2
