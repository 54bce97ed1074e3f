package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the state machines, so that every run gives the
// same verdict. The command line goes before it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
