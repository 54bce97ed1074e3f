// Package settings holds the settings of one instance: its name, its failure
// domain and region, its addresses and its accounts. They are read once at
// startup. Everything that operators change while instances run is in the
// service documents.
package settings

import (
	"time"

	"github.com/topazrock/topazrock/internal/features"
)

// Settings are the validated settings of one instance.
type Settings struct {
	Instance Instance
	Caller   Caller
	Peer     Peer
	Admin    Admin
	Platform Platform
	Upstream Upstream
	Homes    Homes
	Ready    Readiness
	Metrics  Metrics
	// Promotion is the service that promotes members to primary, if members do
	// not accept promotions directly. Its URL is empty otherwise.
	Promotion Promotion
	Drain     Drain
	Process   Process
	Quota     Quota
	Load      ExpectedLoad
	// Features holds the modes of the optional mechanisms.
	Features features.Modes
	Log      Log
}

// Instance is the identity and location of the instance.
type Instance struct {
	ID            string
	FailureDomain string
	Region        string
}

// Values of Caller.Wire.
const (
	WirePostgreSQL = "postgresql"
	WireLine       = "line"
)

// Caller configures the listener for callers.
type Caller struct {
	Address string
	// Wire is the wire protocol of callers and members.
	Wire string
	// MaxCallers limits the number of open caller connections.
	MaxCallers int
	// StartupTimeout limits the time from accept to the end of authentication.
	StartupTimeout time.Duration
}

// Peer configures the listener for other instances.
type Peer struct {
	Address string
	// Seeds are the peer addresses from which the instance requests documents as
	// long as it cannot get the instance list from the platform. It may be empty.
	Seeds []string
}

// Admin configures the administration API.
type Admin struct {
	Address string
	// AccessToken is required from API calls that change state. If it is empty,
	// such calls are accepted from loopback addresses only.
	AccessToken string
}

// Platform configures access to the platform's object API and instance list.
type Platform struct {
	URL string
	// Timeout limits one call, except a watch that waits for changes.
	Timeout time.Duration
}

// Upstream is the account for connections to members.
type Upstream struct {
	User            string
	Password        string
	ApplicationName string
}

// Homes configures how many instances hold a group's connections.
type Homes struct {
	// PerFailureDomain is the number of homes of a group in each failure domain.
	PerFailureDomain int
}

// Readiness configures a separate listener for the load balancer's readiness probe.
type Readiness struct {
	// Address is empty if there is no such listener.
	Address string
}

// Metrics configures a separate listener for metrics.
type Metrics struct {
	// Address is empty if there is no such listener.
	Address string
}

// Promotion configures the service that promotes members to primary.
type Promotion struct{ URL string }

// Drain configures the graceful shutdown.
type Drain struct {
	// Linger is how long new callers are still served after the shutdown begins.
	// It must cover the time in which the load balancer notices that the instance
	// is no longer ready.
	Linger time.Duration
	// Timeout limits the time for running requests to end, including Linger.
	Timeout time.Duration
	// CloseTimeout limits the time after that in which connections are closed and shares
	// released.
	CloseTimeout time.Duration
}

// Process limits the resources of the process.
type Process struct {
	// MemoryMB is the memory limit in megabytes; zero means no limit.
	MemoryMB int
	// CoreShare is the part of each of Cores processor cores that the process may use; zero if it
	// is not known.
	CoreShare float64
	Cores     int
}

// Capacity returns the processor time that the process may use, in cores; zero if it is not known.
func (p Process) Capacity() float64 { return p.CoreShare * float64(p.Cores) }

// ExpectedLoad describes the load that the deployment expects.
type ExpectedLoad struct {
	// Declared lists what the deployment's operator declares, in the words of the deployment's
	// platform. What is not known is ignored.
	Declared []string
}

// Quota configures by how much the operations of a workspace may exceed its limit: in any
// Window, at most (rate x Window + burst) x (1 + Overage) + Slack operations may begin.
type Quota struct {
	Window  time.Duration
	Overage float64
	Slack   int
}

// Log configures the log level and format.
type Log struct {
	Level  string
	Format string
}

// Values of Log.Format.
const (
	FormatText = "text"
	FormatJSON = "json"
)
