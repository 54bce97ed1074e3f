package group

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/member"
)

// Config configures a Watcher.
type Config struct {
	// Group is the name of the group in logs and metrics.
	Group string
	// Members lists all members of the group; quorums are counted over them.
	Members []document.Member
	// MinSize is the minimum number of members that a majority is counted over; zero means
	// the number of listed members.
	MinSize int
	Clock   clock.Clock
	// Rand provides jitter for the polls. The Watcher guards it; nothing else may use it.
	Rand   *rand.Rand
	Dialer member.Dialer
	// Logger may be nil.
	Logger hclog.Logger
	// Metrics may be nil. All watchers of an instance share one.
	Metrics *Metrics
	// OnSilentConnection, if set, is called when a kept connection did not answer but a new
	// connection to the same member does. since is when the last query was sent on the
	// silent connection.
	OnSilentConnection func(since time.Time)
	// OnConnections, if set, is called with the number of connections that a member counts, after
	// each report that contains it.
	OnConnections func(address string, connections int)
	// Intervals default to DefaultIntervals.
	Intervals Intervals
}
