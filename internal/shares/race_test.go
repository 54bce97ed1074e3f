//go:build race

package shares

// defaultSeedBatches is lower with the race detector, whose runtime has crashed with
// SIGSEGV in a timer of a synctest bubble in 1 of some 20 long runs. Without the race
// detector both batches run.
const defaultSeedBatches = 1
