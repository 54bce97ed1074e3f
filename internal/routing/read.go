// Package routing chooses the member that answers a read. It looks at one
// snapshot of the group and does nothing else.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// Read states what a read needs of a replica.
type Read struct {
	// Required is the position that the replica must have reached.
	Required logpos.Position
	// NotBefore is the moment that the replica's data must be as fresh as; zero
	// when Required alone is enough.
	NotBefore time.Time
	// Checked says that the member itself refuses the read if its log lacks
	// Required, so that any replica may be asked.
	Checked bool
	// FailureDomain is where the instance runs; its members are preferred.
	FailureDomain string
	// Exclude holds addresses that failed this read already.
	Exclude map[string]bool
	// Load tells how many statements of this instance run at a member.
	Load func(address string) int
	// SpillToPrimary lets the primary answer where the replicas are that much busier:
	// by so many statements of this instance. Zero keeps reads off the primary.
	SpillToPrimary int
	// Owner is whose connections alone may run the read; empty where they are shared. Its
	// reads keep to one replica, so that few connections serve many owners.
	Owner string
	// Connected tells whether a connection of the owner to a member is idle.
	Connected func(address string) bool
	// Behind tells whether a member lately lacked a required position; it may be
	// nil.
	Behind func(address string) bool
}

// Replica returns the replica that suits r best, or false when none may answer.
// Less loaded replicas go first, then those of the own failure domain, then
// chance decides. For an owner, the opening of a connection counts as load, and a hash of the
// owner decides in place of failure domain and chance: with each replica by turns, or the
// nearest for all, the connections of the others would lie idle while those of owners take
// turns at one.
func Replica(s *group.Snapshot, r Read, random *rand.Rand) (group.MemberView, bool) {
	var best group.MemberView
	found := false
	bestScore := 0
	for _, m := range s.Members {
		if !eligible(s, m, r) {
			continue
		}
		score := score(m, s.Primary, r, random)
		if !found || score < bestScore {
			best, bestScore, found = m, score, true
		}
	}
	return best, found
}

// behindPenalty is the load for which a replica that is known to lag makes up by
// being less busy: a refused read costs a round trip, a long queue costs more.
const behindPenalty = 8

// scoreStep separates the ranks of a score: load, own failure domain, chance.
const scoreStep = 16

func score(m group.MemberView, primary string, r Read, random *rand.Rand) int {
	s := r.Load(m.Address) * 2
	switch {
	case r.Owner == "" && m.FailureDomain != r.FailureDomain:
		s++
	case r.Owner != "" && !r.Connected(m.Address):
		s += openingLoad
	}
	if m.Address == primary {
		s += r.SpillToPrimary * 2
	}
	if r.Behind != nil && r.Behind(m.Address) {
		s += behindPenalty
	}
	return s*scoreStep + r.tieBreak(m.Address, random)
}

// openingLoad is what the opening of a connection adds to a score: it takes a slot for about as
// long as a statement.
const openingLoad = 2

// tieBreak orders members that are as good as each other.
func (r Read) tieBreak(address string, random *rand.Rand) int {
	if r.Owner == "" {
		return random.IntN(scoreStep)
	}
	return int(xxhash.Sum64String(r.Owner+"\x00"+address) % scoreStep)
}

func eligible(s *group.Snapshot, m group.MemberView, r Read) bool {
	st := m.Status
	if m.Address == s.Primary {
		return r.SpillToPrimary > 0 && !r.Exclude[m.Address] && !m.Leaving && m.Failing.IsZero()
	}
	switch {
	case r.Exclude[m.Address], m.Leaving, !m.Failing.IsZero():
		return false
	case r.Checked:
		// A replica that is held for a promotion answers reads like any other.
		return st.Role != member.RolePrimary
	case st.Role != member.RoleReplica:
		return false
	case st.Attached != s.Term || st.Entered != s.Term:
		// A replica of another term may still hold a tail that was discarded.
		return false
	case st.Last.Position < r.Required:
		return false
	}
	return r.NotBefore.IsZero() || !m.FreshAsOf.Before(r.NotBefore)
}
