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
	DefaultReserveSeats   = 2
	DefaultRefresh        = 30 * time.Second
	DefaultSampleInterval = 100 * time.Millisecond
	DefaultLendTimeout    = 200 * time.Millisecond
	DefaultCallTimeout    = time.Second
	// DefaultAgeOut is long against any pause after which a holder comes back,
	// and short against the loss of a seat for a day.
	DefaultAgeOut = 10 * time.Minute
)

// Config is what a Manager is made of. Group, Self, Clock, Rand, Platform,
// Peers, Connections and Slots are required.
type Config struct {
	Group string
	// Self is this process. Its address must answer peer calls from before the
	// Manager runs until after Close returned: an address at which another
	// process answers proves to the others that this one is gone.
	Self  Holder
	Clock clock.Clock
	// Rand is used by the Manager's goroutine only; it must not be shared.
	Rand     *rand.Rand
	Platform platform.API
	Peers    peer.Caller
	Logger   hclog.Logger
	Metrics  *Metrics
	// Connections and Slots are bounded by the share. They begin at zero.
	Connections Resource
	Slots       Resource
	// Control is how many connections a holder uses beside Connections.
	Control int
	// SeatChanged is called with true after a seat was taken and with false
	// before one is given up, in turn; the latter must return only when the
	// control connections are closed. It may be nil.
	SeatChanged func(seated bool)
	// ReserveSeats is how many seats no failure domain owns.
	ReserveSeats int
	// Refresh is how often the ledger is read while nothing happens.
	Refresh time.Duration
	// SampleInterval is how often use is looked at.
	SampleInterval time.Duration
	// LendTimeout bounds how long a lender waits for its connections to close.
	LendTimeout time.Duration
	// CallTimeout bounds one call to the platform or to a peer.
	CallTimeout time.Duration
	// AgeOut is how long a holder must be gone before its seat is taken without
	// proof: not in the platform's list, silent to peers, and not removing the
	// mark on its seat. Only an instance of the holder's own failure domain may
	// do so: a domain that is cut off keeps its seats however long the cut lasts.
	AgeOut time.Duration
}

// withDefaults returns a copy with every unset option filled in.
func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	if c.SeatChanged == nil {
		c.SeatChanged = func(bool) {}
	}
	if c.ReserveSeats <= 0 {
		c.ReserveSeats = DefaultReserveSeats
	}
	setDefault(&c.Refresh, DefaultRefresh)
	setDefault(&c.SampleInterval, DefaultSampleInterval)
	setDefault(&c.LendTimeout, DefaultLendTimeout)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.AgeOut, DefaultAgeOut)
	return c
}

// setDefault fills in an unset duration.
func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
