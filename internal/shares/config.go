package shares

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

// Defaults of Config.
const (
	DefaultReserveShares   = 2
	DefaultRefreshInterval = 30 * time.Second
	DefaultSampleInterval  = 100 * time.Millisecond
	DefaultLendTimeout     = 200 * time.Millisecond
	DefaultCallTimeout     = time.Second
	// DefaultHolderExpiry is longer than any pause after which a holder resumes, and
	// short enough that the share of a lost holder is not unusable for a day.
	DefaultHolderExpiry = 10 * time.Minute
)

// Config configures a Manager. Group, Self, Clock, Rand, Platform, Peers, Connections
// and Slots are required.
type Config struct {
	Group string
	// Self identifies this process. Its address must answer peer calls from before the
	// Manager runs until after Close has returned: when another process answers at the
	// address, other instances take this as proof that this process has ended.
	Self  Holder
	Clock clock.Clock
	// Rand is used only by the Manager's goroutine and must not be shared.
	Rand     *rand.Rand
	Platform platform.API
	Peers    peer.Caller
	Logger   hclog.Logger
	Metrics  *Metrics
	// Connections and Slots are limited by the share. Their initial limit is zero.
	Connections Resource
	Slots       Resource
	// ControlConnections is the number of connections that a holder uses in addition to
	// Connections.
	ControlConnections int
	// OnHeldChanged is called with true after a share was taken and with false before one
	// is released, alternately. The call with false must return only after the control
	// connections are closed. It may be nil.
	OnHeldChanged func(held bool)
	// ReserveShares is the number of shares that belong to no failure domain.
	ReserveShares int
	// RefreshInterval is how often the ledger is read when nothing else triggers a
	// read.
	RefreshInterval time.Duration
	// SampleInterval is how often usage is sampled.
	SampleInterval time.Duration
	// LendTimeout limits how long a lender waits for its connections to close.
	LendTimeout time.Duration
	// CallTimeout limits one call to the platform or to a peer.
	CallTimeout time.Duration
	// HolderExpiry is how long a holder must be gone before its share is taken without
	// proof: missing from the platform's inventory, unreachable for peers, and not
	// removing the suspect mark on its share. Only an instance of the holder's own
	// failure domain may take it: a domain that is cut off keeps its shares however
	// long the cut lasts.
	HolderExpiry time.Duration
}

// withDefaults returns a copy in which every unset option has its default.
func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	if c.OnHeldChanged == nil {
		c.OnHeldChanged = func(bool) {}
	}
	if c.ReserveShares <= 0 {
		c.ReserveShares = DefaultReserveShares
	}
	setDefault(&c.RefreshInterval, DefaultRefreshInterval)
	setDefault(&c.SampleInterval, DefaultSampleInterval)
	setDefault(&c.LendTimeout, DefaultLendTimeout)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.HolderExpiry, DefaultHolderExpiry)
	return c
}

// setDefault sets a duration that is not positive to value.
func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
