package membership

import (
	"math/rand/v2"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

// Options are what New needs.
type Options struct {
	API   platform.API
	Clock clock.Clock
	Rand  *rand.Rand
	// Self is this instance as its settings describe it.
	Self platform.Instance
	// PerFailureDomain is the number of homes of a group in each failure domain.
	PerFailureDomain int
	// Log may be nil.
	Log hclog.Logger
	// Metrics may be nil.
	Metrics *Metrics
}
