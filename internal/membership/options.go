package membership

import (
	"math/rand/v2"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

// DefaultRelays is how many instances of each failure domain read the list from
// the platform. A failure domain with no more instances reads it with all.
const DefaultRelays = 3

// Options are what New needs.
type Options struct {
	API   platform.API
	Clock clock.Clock
	Rand  *rand.Rand
	// Self is this instance as its settings describe it.
	Self platform.Instance
	// PerFailureDomain is the number of homes of a group in each failure domain.
	PerFailureDomain int
	// Peers calls other instances. When it is nil, the instance reads the list
	// from the platform alone.
	Peers peer.Caller
	// Registry takes the handlers; it may be nil when Peers is.
	Registry peer.Registry
	// Seeds are peer addresses that are asked for the list while the platform
	// has not told who there is. It may be empty.
	Seeds []string
	// Relays is how many instances of each failure domain read the list from the
	// platform; zero means DefaultRelays.
	Relays int
	// Log may be nil.
	Log hclog.Logger
	// Metrics may be nil.
	Metrics *Metrics
}
