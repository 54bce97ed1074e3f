//go:build race

package shares

// defaultBatches is lower with the race detector: its runtime has crashed with
// SIGSEGV in a timer of a synctest bubble in 1 of some 20 long runs. Both batches
// run without it.
const defaultBatches = 1
