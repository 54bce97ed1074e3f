package instance

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/failover"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/wire"
)

// Protocol is what callers and members speak, and how groups are followed over it.
type Protocol struct {
	Wire wire.Features
	// Open opens a connection for statements of a workspace to a member of a group.
	Open func(ctx context.Context, group, address, workspace string) (wire.Conn, error)
	// Control opens the control side of members of a group.
	Control func(group string) member.Dialer
	// Callers makes the side that serves callers.
	Callers func(CallerParts) Callers
	// Intervals and Failover are the times of following groups and of failover;
	// zero values are the packages' defaults.
	Intervals group.Intervals
	Failover  failover.Settings
	// MembersNumberTerms and ConfirmationAge are passed to failover and execution.
	MembersNumberTerms bool
	ConfirmationAge    time.Duration
	// TrimInterval is how often pools close idle connections that were not needed;
	// zero keeps them.
	TrimInterval time.Duration
	// MembersChange says that members come and go while the group is served, by their
	// own entries, and not by a new document.
	MembersChange bool
	// MemberShares says that each member limits its own connections, from whomever
	// they come, and refuses more without harm: then an even share of a member's
	// connections needs no ledger on the platform.
	MemberShares bool
	// Linger is how long members count a connection whose other end has vanished.
	Linger time.Duration
}

// CallerParts is what the side that serves callers gets from the instance.
type CallerParts struct {
	Executor execution.Executor
	// EndUnits ends the units that members work on; their outcome is then unknown.
	EndUnits   func()
	Clock      clock.Clock
	Logger     hclog.Logger
	Registry   prometheus.Registerer
	MaxCallers int
}

// Callers serves callers.
type Callers interface {
	// Serve accepts callers until the listener is closed.
	Serve(net.Listener) error
	// Drain ends sessions as they become idle, and cuts them off when ctx ends.
	Drain(ctx context.Context) error
	// Draining reports whether Drain has begun.
	Draining() bool
	// Close ends what serves sessions, behind Drain.
	Close()
}
