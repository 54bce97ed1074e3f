package failover

import (
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// Gap tells how long one failover took, phase by phase, as its claimer saw it.
type Gap struct {
	Group   string
	Term    logpos.Term
	Cause   Cause
	Primary string
	// Detect runs from the first failed probe to the decision to claim.
	Detect time.Duration
	// Claim runs until the platform gave the term.
	Claim time.Duration
	// Fence runs until a majority had entered it.
	Fence time.Duration
	// Promote runs until the new primary answered.
	Promote time.Duration
	// Learn runs until a replica was attached, so that writes can be confirmed.
	Learn time.Duration
}

// Total is the whole of the gap.
func (g Gap) Total() time.Duration { return g.Detect + g.Claim + g.Fence + g.Promote + g.Learn }
