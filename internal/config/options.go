package config

import (
	"math/rand/v2"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

// DefaultRelays is how many instances of each failure domain watch the platform.
// Three survive the loss of any two; a failure domain with no more than three
// instances watches with all of them.
const DefaultRelays = 3

// Options are what New needs.
type Options struct {
	API   platform.API
	Clock clock.Clock
	Rand  *rand.Rand
	Fleet Fleet
	Peers peer.Caller
	// Registry takes the store's handlers.
	Registry peer.Registry
	// Seeds are peer addresses that are asked while the fleet's view names no
	// other instance, as when an instance starts during an outage of the
	// platform. It may be empty.
	Seeds []string
	// Relays is how many instances of each failure domain watch the platform;
	// zero means DefaultRelays.
	Relays int
	// Log may be nil.
	Log hclog.Logger
	// Metrics may be nil.
	Metrics *Metrics
}
