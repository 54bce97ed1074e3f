package pool

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/wire"
)

// Default values of Config fields.
const (
	DefaultMaxConcurrentOpenings = 2
	DefaultOpenTimeout           = time.Second
	DefaultOpenJitter            = 5 * time.Millisecond
	DefaultProbeTimeout          = 100 * time.Millisecond
	DefaultCloseTimeout          = 300 * time.Millisecond
	DefaultMaxWait               = 10 * time.Second
	DefaultMinBackoff            = 50 * time.Millisecond
	DefaultMaxBackoff            = 5 * time.Second
)

// Config configures a Limited. Group, Clock, Rand and Open are required.
type Config struct {
	Group string
	Clock clock.Clock
	// Rand is called only while the pool's lock is held, so it needs no lock of its own,
	// but it must not be shared with other code.
	Rand *rand.Rand
	// Open returns an authenticated connection to the member at address, for a workspace.
	// If the member refuses the connection, the error wraps wire.ErrRefused.
	Open func(ctx context.Context, address, workspace string) (wire.Conn, error)
	// Probe makes one round trip on the connection. When it is nil, a suspect
	// connection is closed without a probe.
	Probe func(ctx context.Context, c wire.Conn) error
	// Check returns an error when the member has closed the connection. It must
	// not block. It may be nil.
	Check func(c wire.Conn) error
	// Close closes a connection and returns nil once the member has closed its end. When it
	// is nil, the connection is closed and keeps counting for CloseTimeout, because there
	// is no confirmation from the member.
	Close   func(ctx context.Context, c wire.Conn) error
	Logger  hclog.Logger
	Metrics *Metrics
	// Limit is the initial limit on the pool's connections.
	Limit int
	// MaxConcurrentOpenings applies to the openings to all members together.
	MaxConcurrentOpenings int
	// OpenTimeout bounds one opening, including its jitter.
	OpenTimeout time.Duration
	// OpenJitter is the upper bound of the random delay before an opening that starts while
	// another one is in progress.
	OpenJitter time.Duration
	// ProbeTimeout bounds the probe of a suspect connection.
	ProbeTimeout time.Duration
	// CloseTimeout is how long a connection counts after its closing began if the member
	// does not confirm it.
	CloseTimeout time.Duration
	// MaxWait bounds Acquire when the context has no earlier deadline.
	MaxWait time.Duration
	// TrimInterval is the interval at which idle connections that were not needed are
	// closed; zero disables trimming.
	TrimInterval time.Duration
	// KeepFrequentlyUsed reports whether a connection that is closed for another workspace is
	// chosen by how often its own workspace is used, rather than by its last use. It may be nil.
	KeepFrequentlyUsed func() bool
	// MinBackoff and MaxBackoff bound the backoff between openings to a member after a
	// failure.
	MinBackoff, MaxBackoff time.Duration
}

// withDefaults returns a copy in which unset options have their default values.
func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	if c.MaxConcurrentOpenings <= 0 {
		c.MaxConcurrentOpenings = DefaultMaxConcurrentOpenings
	}
	setDefault(&c.OpenTimeout, DefaultOpenTimeout)
	setDefault(&c.OpenJitter, DefaultOpenJitter)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.CloseTimeout, DefaultCloseTimeout)
	setDefault(&c.MaxWait, DefaultMaxWait)
	setDefault(&c.MinBackoff, DefaultMinBackoff)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	return c
}

// setDefault sets an unset duration to value.
func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
