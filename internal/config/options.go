package config

import (
	"math/rand/v2"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

// DefaultRelaysPerDomain is how many instances of each failure domain watch the
// platform. With three, the watch survives the loss of any two. In a failure
// domain with three or fewer instances, all of them watch.
const DefaultRelaysPerDomain = 3

// Options holds the dependencies and settings of a Store.
type Options struct {
	API   platform.API
	Clock clock.Clock
	Rand  *rand.Rand
	Fleet Fleet
	Peers peer.Caller
	// Registry is where the store registers its handlers.
	Registry peer.HandlerRegistry
	// Seeds are peer addresses to use while the membership view contains no
	// other instance, as when an instance starts during a platform outage.
	// Optional.
	Seeds []string
	// Relays is how many instances of each failure domain watch the platform.
	// Zero means DefaultRelaysPerDomain.
	Relays int
	// Log is optional.
	Log hclog.Logger
	// Metrics is optional.
	Metrics *Metrics
}
