package pool

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// batches is how often each state machine test is run, each time with another seed. rapid
// ends a run after a day, which is virtual time here, so one run has a bounded number of
// checks.
var batches = flag.Int("batches", 4, "runs of each state machine, each with its own seed")

// TestMain parses the flags before the tests use them.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

// seedBatch sets a fixed seed for each batch, so that the result is reproducible.
func seedBatch(batch int) {
	_ = flag.Set("rapid.seed", strconv.Itoa((batch+1)*1_000_000))
}
