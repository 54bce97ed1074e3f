package retry

import (
	"math/rand/v2"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

// Defaults of Config.
const (
	// DefaultRatio lets retries add a tenth to the load of a group.
	DefaultRatio = 0.1
	// DefaultBurst bounds the retries that accumulate while nothing fails.
	DefaultBurst = 20
	// DefaultPerSecond allows retries in a group with few requests.
	DefaultPerSecond  = 1.0
	DefaultMinBackoff = 5 * time.Millisecond
	DefaultMaxBackoff = time.Second
)

// Config configures a Budget. Group, Clock and Rand are required.
type Config struct {
	Group string
	Clock clock.Clock
	// Rand is used only under the budget's lock and must not be shared.
	Rand    *rand.Rand
	Metrics *Metrics
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Burst is the maximum of the budget, in retries.
	Burst float64
	// PerSecond is the number of retries added to the budget each second, in addition to
	// Ratio.
	PerSecond float64
	// MinBackoff and MaxBackoff bound the pause before a retry.
	MinBackoff, MaxBackoff time.Duration
}

// withDefaults returns a copy of c in which unset options have their defaults.
func (c Config) withDefaults() Config {
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	if c.Ratio <= 0 {
		c.Ratio = DefaultRatio
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.PerSecond <= 0 {
		c.PerSecond = DefaultPerSecond
	}
	if c.MinBackoff <= 0 {
		c.MinBackoff = DefaultMinBackoff
	}
	if c.MaxBackoff <= 0 {
		c.MaxBackoff = DefaultMaxBackoff
	}
	return c
}
