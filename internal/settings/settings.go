// Package settings holds one instance's own settings: its name, where it
// stands, its addresses and its accounts. They are read once at start; all
// that operators change while instances run is in the service documents.
package settings

import "time"

// Settings are the checked settings of one instance.
type Settings struct {
	Instance Instance
	Caller   Caller
	Peer     Peer
	Admin    Admin
	Platform Platform
	Upstream Upstream
	Homes    Homes
	Ready    Ready
	Metrics  Metrics
	// Promotion is where primaries are appointed, for members that do not take
	// the order themselves; empty otherwise.
	Promotion Promotion
	Drain     Drain
	Process   Process
	Quota     Quota
	Log       Log
}

// Instance says who the instance is and where it stands.
type Instance struct {
	ID            string
	FailureDomain string
	Region        string
}

// Words of Caller.Wire.
const (
	WirePostgreSQL = "postgresql"
	WireLine       = "line"
)

// Caller is the side that callers connect to.
type Caller struct {
	Address string
	// Wire is the protocol that callers and members speak.
	Wire string
	// MaxCallers bounds the open caller connections.
	MaxCallers int
	// StartupTimeout bounds the time from accept to the end of authentication.
	StartupTimeout time.Duration
}

// Peer is the side that other instances connect to.
type Peer struct {
	Address string
	// Seeds are peer addresses that are asked for documents while the platform
	// does not tell which instances there are. It may be empty.
	Seeds []string
}

// Admin is the administration API.
type Admin struct {
	Address string
	// AccessToken is asked of calls that change something. Without one, such
	// calls are accepted from loopback addresses only.
	AccessToken string
}

// Platform is the platform's object API and instance list.
type Platform struct {
	URL string
	// Timeout bounds one call, apart from a waiting watch.
	Timeout time.Duration
}

// Upstream is the account that connections to members use.
type Upstream struct {
	User            string
	Password        string
	ApplicationName string
}

// Homes says how many instances hold a group's connections.
type Homes struct {
	// PerFailureDomain is the number of homes of a group in each failure domain.
	PerFailureDomain int
}

// Ready is a listener for the balancer's readiness probe alone.
type Ready struct {
	// Address is empty when there is no such listener.
	Address string
}

// Metrics is a listener for metrics alone.
type Metrics struct {
	// Address is empty when there is no such listener.
	Address string
}

// Promotion is where primaries are appointed.
type Promotion struct{ URL string }

// Drain bounds the graceful shutdown.
type Drain struct {
	// Linger is how long new callers are still served: the balancer needs as long
	// to see that the instance is no longer ready.
	Linger time.Duration
	// Timeout is the whole time of the graceful shutdown.
	Timeout time.Duration
}

// Process bounds the process itself.
type Process struct {
	// MemoryMB is what the process may use, in megabytes; zero sets no bound.
	MemoryMB int
}

// Quota says by how much the operations of a workspace may pass its limit: in any Window,
// (rate x Window + burst) x (1 + Overage) + Slack operations are begun at most.
type Quota struct {
	Window  time.Duration
	Overage float64
	Slack   int
}

// Log says what is logged and how.
type Log struct {
	Level  string
	Format string
}

// Words of Log.Format.
const (
	FormatText = "text"
	FormatJSON = "json"
)
