package failover

import (
	"math/rand/v2"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/platform"
)

// Config is what a Claimer is made of.
type Config struct {
	Group string
	// Self is this instance; its ID and failure domain are used.
	Self platform.Instance
	// Instances returns the instances that follow the group, this one included,
	// as far as is known. The list may lag. Nil means this one alone.
	Instances func() []platform.Instance
	View      View
	Platform  platform.API
	// Dialer opens the connections that fence, promote and attach.
	Dialer member.Dialer
	// Witness may be nil where there are no other instances.
	Witness Witness
	Clock   clock.Clock
	// Rand is used by the Claimer's guard only; nothing else may use it.
	Rand *rand.Rand
	// Logger may be nil.
	Logger hclog.Logger
	// Metrics may be nil. All claimers of an instance share one.
	Metrics *Metrics
	// Settings default to DefaultSettings.
	Settings Settings
	// MembersNumberTerms says that members count terms by themselves: a promotion
	// leads to the term behind the highest that they know.
	MembersNumberTerms bool
	// OnFailover, if set, is told of every failover that this claimer completed.
	OnFailover func(Gap)
	// Hook, if set, is called at every Step. A test stops a claimer there.
	Hook func(Step)
}
