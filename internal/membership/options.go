package membership

import (
	"math/rand/v2"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

// DefaultRelays is the default number of instances in each failure domain that read the list
// from the platform. In a failure domain with no more instances than that, all of them read it.
const DefaultRelays = 3

// Options holds the dependencies and settings of Members.
type Options struct {
	API   platform.API
	Clock clock.Clock
	Rand  *rand.Rand
	// Self is this instance as configured.
	Self platform.Instance
	// PerFailureDomain is the default number of homes of a group in each failure domain.
	PerFailureDomain int
	// Peers calls other instances. If it is nil, the instance reads the list only from the
	// platform.
	Peers peer.Caller
	// Registry registers the handlers for calls from peers; it may be nil if Peers is nil.
	Registry peer.HandlerRegistry
	// Seeds are the peer addresses to pull the list from while no other instance is known. It
	// may be empty.
	Seeds []string
	// Relays is the number of instances in each failure domain that read the list from the
	// platform; zero means DefaultRelays.
	Relays int
	// Log may be nil.
	Log hclog.Logger
	// Metrics may be nil.
	Metrics *Metrics
}
