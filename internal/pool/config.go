package pool

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/wire"
)

// Defaults of Config.
const (
	DefaultMaxOpening   = 2
	DefaultOpenTimeout  = time.Second
	DefaultOpenJitter   = 5 * time.Millisecond
	DefaultProbeTimeout = 100 * time.Millisecond
	DefaultCloseHold    = 300 * time.Millisecond
	DefaultMaxWait      = 10 * time.Second
	DefaultMinPause     = 50 * time.Millisecond
	DefaultMaxPause     = 5 * time.Second
)

// Config is what a Limited is made of. Group, Clock, Rand and Open are required.
type Config struct {
	Group string
	Clock clock.Clock
	// Rand is used under the pool's lock only, so it needs no lock of its own
	// but must not be shared.
	Rand *rand.Rand
	// Open returns an authenticated connection to the member at address, for a
	// workspace. A refusal by the member wraps wire.ErrRefused.
	Open func(ctx context.Context, address, workspace string) (wire.Conn, error)
	// Probe makes one round trip on the connection. When it is nil, a suspect
	// connection is closed without a probe.
	Probe func(ctx context.Context, c wire.Conn) error
	// Check returns an error when the member has closed the connection. It must
	// not block. It may be nil.
	Check func(c wire.Conn) error
	// Close closes a connection and returns nil once the member has closed its
	// end. When it is nil, the connection is closed and goes on counting for
	// CloseHold, because nothing tells when the member lets it go.
	Close   func(ctx context.Context, c wire.Conn) error
	Logger  hclog.Logger
	Metrics *Metrics
	// Limit is how many connections the pool may hold at first.
	Limit int
	// MaxOpening bounds the openings that run at once.
	MaxOpening int
	// OpenTimeout bounds one opening.
	OpenTimeout time.Duration
	// OpenJitter is the longest delay before an opening that starts while
	// another one runs.
	OpenJitter time.Duration
	// ProbeTimeout bounds the probe of a suspect connection.
	ProbeTimeout time.Duration
	// CloseHold is how long a connection counts after its closing began when
	// the member does not confirm it.
	CloseHold time.Duration
	// MaxWait bounds Acquire where the context's deadline does not.
	MaxWait time.Duration
	// TrimInterval is how often idle connections that were not needed are closed;
	// zero keeps them.
	TrimInterval time.Duration
	// MinPause and MaxPause bound how long opening to a member is held back
	// after a failure.
	MinPause, MaxPause time.Duration
}

// withDefaults returns a copy with every unset option filled in.
func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	if c.MaxOpening <= 0 {
		c.MaxOpening = DefaultMaxOpening
	}
	setDefault(&c.OpenTimeout, DefaultOpenTimeout)
	setDefault(&c.OpenJitter, DefaultOpenJitter)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.CloseHold, DefaultCloseHold)
	setDefault(&c.MaxWait, DefaultMaxWait)
	setDefault(&c.MinPause, DefaultMinPause)
	setDefault(&c.MaxPause, DefaultMaxPause)
	return c
}

// setDefault fills in an unset duration.
func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
