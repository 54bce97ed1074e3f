package shares

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seedBatches is the number of runs of each state machine, each with its own seed: rapid
// ends a run after a day of virtual time, so one run has only some thirty checks.
var seedBatches = flag.Int("batches", defaultSeedBatches, "runs of each state machine, each with its own seed")

// TestMain parses the flags before the tests use them.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

// setSeed sets a fixed seed for a batch, so that every run has the same result.
func setSeed(batch int) {
	_ = flag.Set("rapid.seed", strconv.Itoa((batch+1)*1_000_000))
}
