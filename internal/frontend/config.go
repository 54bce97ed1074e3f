// Package frontend serves callers: it accepts their connections, authenticates
// them, cuts what they send into units, and passes each unit's answer back.
//
// An idle caller costs one goroutine that waits for the first byte of the next
// message, and a small session. Buffers come from a pool, and a worker runs each
// unit, so that the waiting goroutine's stack stays small.
//
// Lock order: Server.mu, then session.mu. Neither is held across I/O.
package frontend

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/execution"
)

// Directory finds the service document in force for a group.
type Directory interface {
	// FindService returns the service that names the group.
	FindService(group string) (*document.Service, bool)
	// Ready reports whether any document has been learned.
	Ready() bool
}

// Config is what a Server is made of.
type Config struct {
	// Instance is this instance's ID.
	Instance  string
	Directory Directory
	Executor  execution.Executor
	// EndUnits ends the units that members work on, when sessions are cut off. It may be nil.
	EndUnits func()
	Clock    clock.Clock
	Logger   hclog.Logger
	Metrics  *Metrics
	// MaxCallers bounds the connections of callers.
	MaxCallers int
	// StartupTimeout bounds the time from accept to authenticated.
	StartupTimeout time.Duration
	// MessageTimeout bounds the time from a message's first byte to its last,
	// and from a batch's first message to its Sync.
	MessageTimeout time.Duration
	// WriteTimeout bounds one write to a caller that takes nothing.
	WriteTimeout time.Duration
	// MaxUnit bounds one unit, in bytes.
	MaxUnit int
	// ForeignCancel passes on a cancel request whose process ID is of another
	// instance. It may be nil.
	ForeignCancel func(processID, secret uint32)
}

// Defaults of Config.
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
	if c.EndUnits == nil {
		c.EndUnits = func() {}
	}
}
