// Package frontend serves callers that speak the PostgreSQL protocol: it accepts
// and authenticates their connections, divides what they send into units, and
// sends them the reply to each unit.
//
// An idle caller costs one goroutine, which waits for the first byte of the next
// message, and a small session. Buffers come from a pool, and a worker runs each
// unit, so that the stack of the waiting goroutine stays small.
//
// Lock order: callers.Server.mu, then processIDs.mu, then session.mu. None is held across I/O.
package frontend

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/topazrock/topazrock/internal/callers"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/execution"
)

// Directory finds the service document in force for a group.
type Directory interface {
	// FindService returns the service document that contains the group.
	FindService(group string) (*document.Service, bool)
	// Ready reports whether any document has been loaded.
	Ready() bool
}

// Config configures a Server.
type Config struct {
	// Instance is this instance's ID.
	Instance  string
	Directory Directory
	Executor  execution.Executor
	// CancelUnits is called when a drain times out, and cancels the units that members are
	// running. It may be nil.
	CancelUnits func()
	Clock       clock.Clock
	Logger      hclog.Logger
	Metrics     *Metrics
	// MaxCallers is the maximum number of connected callers.
	MaxCallers int
	// StartupTimeout limits the time from accepting a connection to the end of
	// authentication.
	StartupTimeout time.Duration
	// MessageTimeout limits the time from a message's first byte to its last,
	// and from a batch's first message to its Sync.
	MessageTimeout time.Duration
	// WriteTimeout limits one write to a caller that does not read.
	WriteTimeout time.Duration
	// MaxUnit limits the size of one unit, in bytes.
	MaxUnit int
	// ForwardCancel forwards a cancel request whose process ID belongs to another
	// instance. It may be nil.
	ForwardCancel func(processID, secret uint32)
	// Departures notices callers that leave while a unit runs. It may be nil.
	Departures *callers.Departures
}

// Default values of Config.
const (
	DefaultMaxCallers     = 20000
	DefaultStartupTimeout = 10 * time.Second
	DefaultMessageTimeout = 30 * time.Second
	DefaultWriteTimeout   = 10 * time.Second
	DefaultMaxUnit        = 16 << 20
)

func (c *Config) setDefaults() {
	if c.MaxCallers == 0 {
		c.MaxCallers = DefaultMaxCallers
	}
	if c.StartupTimeout == 0 {
		c.StartupTimeout = DefaultStartupTimeout
	}
	if c.MessageTimeout == 0 {
		c.MessageTimeout = DefaultMessageTimeout
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = DefaultWriteTimeout
	}
	if c.MaxUnit == 0 {
		c.MaxUnit = DefaultMaxUnit
	}
	if c.CancelUnits == nil {
		c.CancelUnits = func() {}
	}
}
