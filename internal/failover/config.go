package failover

import (
	"math/rand/v2"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/memberhealth"
	"github.com/topazrock/topazrock/internal/platform"
)

// Config configures a Claimer.
type Config struct {
	Group string
	// Self is this instance; only its ID and failure domain are used.
	Self platform.Instance
	// Instances returns the known instances that follow the group, this one included.
	// The list may be outdated. Nil means this one alone.
	Instances func() []platform.Instance
	View      View
	Platform  platform.API
	// Dialer opens the connections used to fence, promote and attach members.
	Dialer member.Dialer
	// Witness may be nil if there are no other instances.
	Witness Witness
	Clock   clock.Clock
	// Rand is used by the Claimer's primaryMonitor without a lock and must not be shared.
	Rand *rand.Rand
	// Logger may be nil.
	Logger hclog.Logger
	// Metrics may be nil. All claimers of an instance share one value.
	Metrics *Metrics
	// Settings defaults to DefaultSettings if zero.
	Settings Settings
	// Work is what this instance sees of the members' statements. Nil means that a primary which
	// answers status requests is never replaced for failing its statements.
	Work memberhealth.WorkView
	// ReplaceFailing reports whether a primary that fails its statements is replaced now. Nil means
	// never.
	ReplaceFailing func() bool
	// MembersAssignTerms is set if members assign terms themselves: a promotion
	// results in the successor of the highest term that they know.
	MembersAssignTerms bool
	// OnFailover, if set, is called after every failover that this claimer completed.
	OnFailover func(Timings)
	// OnStep, if set, is called at every Step. Tests use it to stop a claimer there.
	OnStep func(Step)
}
