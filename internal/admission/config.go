package admission

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
)

const (
	// DefaultMaxQueue bounds a class's waiters when the request states no bound.
	DefaultMaxQueue = 100
	// DefaultMaxWait bounds the wait of a request without a deadline.
	DefaultMaxWait = 30 * time.Second
	// fairEvery is how often a slot goes to the waiter that waited longest.
	fairEvery = 8
	// waitMargin is the part of the expected wait that is added to it when it is
	// held against the deadline. Requests of higher priority that arrive later
	// lengthen the wait, and without the margin the queue fills up to the
	// length at which a large part of it times out.
	waitMargin = 2
	// minRetryAfter is the shortest retry-after told to a caller.
	minRetryAfter = 50 * time.Millisecond
)

// Config is what a Controller is made of. Group, Clock and Rand are required.
type Config struct {
	Group string
	Clock clock.Clock
	// Rand is used under the controller's lock only; it must not be shared.
	Rand    *rand.Rand
	Logger  hclog.Logger
	Metrics *Metrics
	// Slots is how many requests may run at once at first.
	Slots int
	// Adaptive bounds the requests at work by how long answers take, where slots are
	// connections to a member that has a queue of its own.
	Adaptive bool
}
