//go:build race

package shares

// defaultBatches is lower with the race detector: its runtime has crashed with
// SIGSEGV in a timer of a synctest bubble in 1 of some 20 long runs, and a second
// batch shows it no schedule that the first one does not.
const defaultBatches = 1
