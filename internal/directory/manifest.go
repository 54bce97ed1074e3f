package directory

import (
	"time"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/workspace"
)

// Manifest is the platform operator's definition of all services.
type Manifest struct {
	// Version increases with every change.
	Version   int64
	Groups    []Group
	Databases []Database
	// TransactionIdleTimeout is how long a transaction may be idle.
	TransactionIdleTimeout time.Duration
	// Workspaces are the workspaces that callers' keys identify; nil if callers need no key.
	Workspaces *workspace.Table
	// InvalidWorkspaces are the workspaces and keys that are invalid and therefore not used.
	InvalidWorkspaces []workspace.Fault
}

// Group is a database group defined by the operator. Its members register themselves.
type Group struct {
	Name string
	// MemberConnections is the maximum number of connections to each member, over all clients.
	MemberConnections int
}

// Database is a database name that callers connect to.
type Database struct {
	Name, Group string
	Class       document.ReadClass
	// Public means that callers need no key.
	Public bool
}

// Decoder decodes the objects written by the platform operator and by the members. An error
// means that the object is invalid and must be ignored.
type Decoder interface {
	DecodeManifest(o platform.Object) (Manifest, error)
	DecodeUpstream(o platform.Object) (platform.Upstream, error)
}
