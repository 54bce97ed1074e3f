package adminapi

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/group"
)

// Documents is the store of service documents. Errors are *result.Error of the
// administration family.
type Documents interface {
	// List returns the documents that this instance has in force.
	List() []DocumentInfo
	// Get returns the newest document that the platform holds.
	Get(ctx context.Context, name string) (Document, error)
	// Check parses text without storing it. Its error may wrap several, one
	// for each fault in the text.
	Check(name, text string) error
	// Apply stores text if the document's version is ifVersion (0: there is none).
	Apply(ctx context.Context, name, text string, ifVersion int64, by string) (Outcome, error)
	// History returns the document's changes, the newest first.
	History(ctx context.Context, name string) ([]Change, error)
}

// Fleet tells what versions the live instances have in force.
type Fleet interface {
	// InForce asks every live instance. One that does not report is in the
	// answer with its Error set.
	InForce(ctx context.Context, name string) ([]InstanceVersion, error)
}

// Groups gives the snapshots of the groups that this instance follows.
type Groups interface {
	Snapshots() []*group.Snapshot
}

// Pools describes the connection pools of this instance.
type Pools interface {
	Pools() []PoolView
}

// Workspaces describes the workspaces in force.
type Workspaces interface {
	Workspaces() []WorkspaceView
}

// Peers describes the instances that this one knows.
type Peers interface {
	Peers() []PeerView
}

// Lifecycle is the instance's own running state.
type Lifecycle interface {
	// Ready reports whether callers may be sent here; reasons name what is missing.
	Ready() (ready bool, reasons []string)
	// Drain starts the graceful shutdown and returns at once. Calling it again
	// changes nothing.
	Drain()
	// Draining reports whether the graceful shutdown has begun.
	Draining() bool
}

// Parts is what the server needs of the rest of the instance. A nil part makes
// its routes answer with result.NotReady.
type Parts struct {
	Identity   Identity
	Documents  Documents
	Fleet      Fleet
	Groups     Groups
	Pools      Pools
	Workspaces Workspaces
	Peers      Peers
	Lifecycle  Lifecycle
	Metrics    prometheus.Gatherer
}
