package directory

import (
	"time"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/workspace"
)

// Manifest is what the platform's operator says of all services at once.
type Manifest struct {
	// Version rises with every change.
	Version   int64
	Groups    []Group
	Databases []Database
	// TransactionIdle is how long a transaction may be idle.
	TransactionIdle time.Duration
	// Workspaces are those that callers' keys name; nil where callers need no key.
	Workspaces *workspace.Table
	// Faults are the workspaces and keys that name nothing as they are written.
	Faults []workspace.Fault
}

// Group is a database group as the operator names it; its members name themselves.
type Group struct {
	Name string
	// MemberConnections is how many connections each member takes, from everybody.
	MemberConnections int
}

// Database is a name that callers connect to.
type Database struct {
	Name, Group string
	Class       document.ReadClass
	// Public says that callers need no key.
	Public bool
}

// Decoder reads what the platform's operator and the members write. An error means
// that the object names nothing to use.
type Decoder interface {
	Manifest(o platform.Object) (Manifest, error)
	Upstream(o platform.Object) (platform.Upstream, error)
}
