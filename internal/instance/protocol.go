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
	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/wire"
)

// Protocol defines how the instance communicates with callers and members, and how it
// follows groups.
type Protocol struct {
	Wire wire.Features
	// Open opens a connection to a member of a group for statements of a workspace.
	Open func(ctx context.Context, group, address, workspace string) (wire.Conn, error)
	// ControlDialer opens control connections to members of a group.
	ControlDialer func(group string) member.Dialer
	// Callers builds the server for callers.
	Callers func(CallerServerConfig) CallerServer
	// Intervals and Failover configure how groups are followed and failed over; zero
	// values select the packages' defaults.
	Intervals group.Intervals
	Failover  failover.Settings
	// MembersAssignTerms and ConfirmationAge are passed to packages failover and
	// execution.
	MembersAssignTerms bool
	ConfirmationAge    time.Duration
	// TrimInterval is how often pools close idle connections that were not needed; zero
	// disables this.
	TrimInterval time.Duration
	// DynamicMembers is set if members join and leave a running group through their own
	// entries, without a new document.
	DynamicMembers bool
	// MembersLimitConnections is set if each member limits the total number of its connections and
	// refuses further ones without harm. An even share of a member's connections then
	// needs no ledger on the platform.
	MembersLimitConnections bool
	// ConnectionLinger is how long members still count a connection whose peer has vanished.
	ConnectionLinger time.Duration
}

// CallerServerConfig holds what the instance provides to the server for callers.
type CallerServerConfig struct {
	Executor execution.Executor
	// CancelUnits aborts the units that members are running; their outcome is then unknown.
	CancelUnits func()
	Clock       clock.Clock
	Logger      hclog.Logger
	Registry    prometheus.Registerer
	MaxCallers  int
	// Features are the instance's optional mechanisms.
	Features *features.Set
}

// CallerServer is the server for callers.
type CallerServer interface {
	// Serve accepts callers until the listener is closed.
	Serve(net.Listener) error
	// Drain ends sessions as they become idle, and closes the remaining ones when ctx
	// ends.
	Drain(ctx context.Context) error
	// Draining reports whether Drain has begun.
	Draining() bool
	// WaitForRejected returns when all rejected connections are closed, or when ctx ends.
	WaitForRejected(ctx context.Context) error
	// Close stops the goroutines that serve sessions. It is called after Drain.
	Close()
}
