package admission

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
)

const (
	// DefaultMaxQueue bounds the waiters of a class when the request sets no bound.
	DefaultMaxQueue = 100
	// DefaultMaxWait is the deadline of a request that has none, counted from its arrival.
	DefaultMaxWait = 30 * time.Second
	// longestWaitInterval: one in this many slots granted from the queue goes to the waiter
	// that has waited longest.
	longestWaitInterval = 8
	// waitMarginDivisor: the expected wait divided by this is added to the expected wait
	// before it is compared with the deadline. Later requests of higher priority lengthen
	// the wait; without the margin the queue fills to a length at which a large part of it
	// times out.
	waitMarginDivisor = 2
	// minRetryAfter is the shortest retry-after returned to a caller.
	minRetryAfter = 50 * time.Millisecond
)

// Config configures a Controller. Group, Clock and Rand are required.
type Config struct {
	Group string
	Clock clock.Clock
	// Rand is used only under the controller's lock and must not be shared.
	Rand    *rand.Rand
	Logger  hclog.Logger
	Metrics *Metrics
	// Slots is the initial number of requests that may run at once.
	Slots int
	// Adaptive limits the requests in flight according to how long answers take. It is
	// meant for slots that are connections to a member with a queue of its own.
	Adaptive bool
	// FairOrder reports whether the waiters of different workspaces are served by their shares.
	// It may change to true; nil means never.
	FairOrder func() bool
}
