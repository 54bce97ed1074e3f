package group

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/member"
)

// Config is what a Watcher is made of.
type Config struct {
	// Group is the group's name.
	Group string
	// Members are all members of the group; a majority is counted over them.
	Members []document.Member
	// Size is how many members a majority is counted over at least; zero means as
	// many as there are.
	Size  int
	Clock clock.Clock
	// Rand spreads the polls. The Watcher guards it; nothing else may use it.
	Rand   *rand.Rand
	Dialer member.Dialer
	// Logger may be nil.
	Logger hclog.Logger
	// Metrics may be nil. All watchers of an instance share one.
	Metrics *Metrics
	// OnSilence, if set, is told when a connection did not answer and a new one
	// to the same member does. since is when the silent one was last asked.
	OnSilence func(since time.Time)
	// Intervals default to DefaultIntervals.
	Intervals Intervals
}
