package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the state machines, so that every run has the
// same result. A seed on the command line takes precedence.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
