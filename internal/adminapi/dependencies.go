package adminapi

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/group"
)

// Documents is the store of service documents. Errors are *result.Error with a
// code of FamilyAdmin.
type Documents interface {
	// List returns the documents that this instance has in force.
	List() []DocumentInfo
	// Get returns the latest version of the document stored at the platform.
	Get(ctx context.Context, name string) (Document, error)
	// Check validates text without storing it. The error may wrap several
	// errors, one for each problem in the text.
	Check(name, text string) error
	// Apply stores text if the document's current version is ifVersion (0: the
	// document does not exist).
	Apply(ctx context.Context, name, text string, ifVersion int64, by string) (Outcome, error)
	// History returns the document's changes, newest first.
	History(ctx context.Context, name string) ([]Change, error)
}

// Fleet reports the document versions that the live instances have in force.
type Fleet interface {
	// VersionsInForce queries every live instance for the version of the named
	// document. An instance that does not respond is included with Error set.
	VersionsInForce(ctx context.Context, name string) ([]InstanceVersion, error)
}

// Groups provides snapshots of the groups that this instance monitors.
type Groups interface {
	Snapshots() []*group.Snapshot
}

// Pools describes the connection pools of this instance.
type Pools interface {
	Pools() []PoolView
}

// Workspaces describes the workspaces that are configured on this instance.
type Workspaces interface {
	Workspaces() []WorkspaceView
}

// Peers describes the other instances that this instance knows.
type Peers interface {
	Peers() []PeerView
}

// Lifecycle reports the readiness of this instance and starts its shutdown.
type Lifecycle interface {
	// Ready reports whether this instance can accept callers. If not, reasons
	// lists what is missing.
	Ready() (ready bool, reasons []string)
	// Drain starts the graceful shutdown and returns immediately. Further
	// calls have no effect.
	Drain()
	// Draining reports whether the graceful shutdown has started.
	Draining() bool
}

// Dependencies holds the components of the instance that the server depends on. Routes
// whose component is nil respond with result.NotReady.
type Dependencies struct {
	Identity  Identity
	Documents Documents
	Fleet     Fleet
	Groups    Groups
	// MemberHealth returns the health of a group's member by the outcome of statements; empty if
	// it is not derived. It may be nil.
	MemberHealth func(group, address string) string
	Pools        Pools
	Workspaces   Workspaces
	Peers        Peers
	Lifecycle    Lifecycle
	Metrics      prometheus.Gatherer
}
