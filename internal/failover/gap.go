package failover

import (
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// Timings holds the duration of each phase of one failover, as measured by its claimer. Each
// phase begins when the previous one ends.
type Timings struct {
	Group   string
	Term    logpos.Term
	Cause   Cause
	Primary string
	// Detect runs from the first failed probe to the decision to claim.
	Detect time.Duration
	// Claim runs until the platform granted the term.
	Claim time.Duration
	// Fence runs until a majority of the members entered the term.
	Fence time.Duration
	// Promote runs until the new primary answered.
	Promote time.Duration
	// Attach runs until a replica was attached, so that writes can be confirmed.
	Attach time.Duration
}

// Total returns the duration of the whole failover.
func (g Timings) Total() time.Duration { return g.Detect + g.Claim + g.Fence + g.Promote + g.Attach }
