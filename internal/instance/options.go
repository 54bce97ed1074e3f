package instance

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/failover"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/settings"
)

// Options are what New needs.
type Options struct {
	Settings *settings.Settings
	Network  netio.Network
	Clock    clock.Clock
	// Seed starts every random source of the instance.
	Seed     uint64
	Platform platform.API
	Logger   hclog.Logger
	// Registry takes the instance's metrics.
	Registry *prometheus.Registry
	// OnFailover, if set, is told of every failover that this instance completed.
	OnFailover func(failover.Gap)
	// Protocol is what callers and members speak; nil means PostgreSQL.
	Protocol *Protocol
	// Documents are the services in force; nil means the product's own documents.
	Documents Documents
	// SelfRegister makes the instance keep its own entry on the platform and follow
	// those of the others, where the platform keeps no list of instances.
	SelfRegister bool
	// WrapTracker, if set, replaces what execution sees of a group. It is for
	// measurements that compare other designs with this one; a wrapper can take
	// every promise away, so the product never sets it.
	WrapTracker func(group.Tracker) group.Tracker
	// FailoverHook, if set, is called at every step of a claim. Tests strike there.
	FailoverHook func(failover.Step)
}

const (
	// defaultDrainTimeout bounds the graceful shutdown where the settings do not.
	defaultDrainTimeout = 30 * time.Second
	// peerLinger is how long peers are still answered behind the drain.
	peerLinger = 500 * time.Millisecond
	// retireTimeout bounds how long transactions stay open in a group that this
	// instance is no longer home to.
	retireTimeout = 30 * time.Second
)
