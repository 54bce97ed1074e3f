package instance

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/failover"
	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/settings"
)

// Options configures an Instance.
type Options struct {
	Settings *settings.Settings
	Network  netio.Network
	Clock    clock.Clock
	// Seed seeds every random source of the instance.
	Seed     uint64
	Platform platform.API
	Logger   hclog.Logger
	// Registry collects the instance's metrics.
	Registry *prometheus.Registry
	// OnFailover, if set, is called after every failover that this instance completed.
	OnFailover func(failover.Timings)
	// Protocol is the protocol of callers and members; nil means PostgreSQL.
	Protocol *Protocol
	// Documents provides the services in force; nil means the product's own document
	// store.
	Documents Documents
	// Conditions are those that the deployment's settings declare.
	Conditions features.Condition
	// SelfRegister makes the instance maintain its own entry on the platform and follow
	// those of the other instances. It is for platforms that do not list instances.
	SelfRegister bool
	// WrapTracker, if set, wraps the view of a group that execution uses. It is for
	// measurements that compare other designs with this one. A wrapper can break every
	// guarantee, so the product never sets it.
	WrapTracker func(group.Tracker) group.Tracker
	// FailoverHook, if set, is called at every step of a claim. Tests use it to inject
	// faults.
	FailoverHook func(failover.Step)
}

const (
	// retireTimeout bounds how long transactions may stay open in a group that this
	// instance is no longer home to.
	retireTimeout = 30 * time.Second
)
