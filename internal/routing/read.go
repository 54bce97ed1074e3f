// Package routing chooses the member that answers a read, based on a single snapshot of the
// group.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// Read describes a read and what it requires of the member that answers it.
type Read struct {
	// Required is the position that the replica must have reached.
	Required logpos.Position
	// NotBefore is the time as of which the replica's data must be current; zero if
	// Required is sufficient.
	NotBefore time.Time
	// MemberChecksPosition is set if the member itself refuses the read when its log has not reached
	// Required, so that any replica may be tried.
	MemberChecksPosition bool
	// FailureDomain is the failure domain of the instance; members in it are preferred.
	FailureDomain string
	// Exclude holds the addresses of members that have already failed this read.
	Exclude map[string]bool
	// Load returns the number of this instance's statements that run at a member.
	Load func(address string) int
	// SpillToPrimary lets the primary answer if each replica runs at least this many more
	// of the instance's statements than the primary does. Zero keeps reads off the primary.
	SpillToPrimary int
	// Owner restricts the read to connections of this owner; empty if connections are
	// shared. Reads of an owner prefer one replica, so that few connections serve many
	// owners.
	Owner string
	// HasIdleConnection reports whether the owner has an idle connection to a member.
	HasIdleConnection func(address string) bool
	// Lagging reports whether a member recently lacked a required position. It may be nil.
	Lagging func(address string) bool
	// Lacks reports whether a replica is known to lack what the read requires; it is not chosen
	// then. It may be nil, and is used only with MemberChecksPosition.
	Lacks func(address string) bool
}

// ChooseMember returns the member with the best score for r, or false if no member may answer.
//
// Without an owner, the member with the lowest load is chosen. Ties are broken by failure
// domain, then at random.
// With an owner, opening a connection counts as load, and a hash of the owner replaces the
// failure domain and the random choice: if each owner used all replicas in turn, or all
// owners used the nearest replica, connections to the other replicas would be idle while
// owners wait for each other at one replica.
func ChooseMember(s *group.Snapshot, r Read, random *rand.Rand) (group.MemberView, bool) {
	var best group.MemberView
	found := false
	bestScore := 0
	for _, m := range s.Members {
		if !isEligible(s, m, r) {
			continue
		}
		score := memberScore(m, s.Primary, r, random)
		if !found || score < bestScore {
			best, bestScore, found = m, score, true
		}
	}
	return best, found
}

// laggingPenalty is added to the load of a replica known to lag, in halves of a statement:
// a refused read costs a round trip, but a long queue costs more.
const laggingPenalty = 8

// tieBreakRange is the range of the lowest component of a score, which breaks ties. The
// component above it counts each statement twice, so that the failure domain, which counts
// once, decides only between equal loads.
const tieBreakRange = 16

func memberScore(m group.MemberView, primary string, r Read, random *rand.Rand) int {
	score := r.Load(m.Address) * 2
	switch {
	case r.Owner == "" && m.FailureDomain != r.FailureDomain:
		score++
	case r.Owner != "" && !r.HasIdleConnection(m.Address):
		score += connectionOpenLoad
	}
	if m.Address == primary {
		score += r.SpillToPrimary * 2
	}
	if r.Lagging != nil && r.Lagging(m.Address) {
		score += laggingPenalty
	}
	return score*tieBreakRange + r.tieBreak(m.Address, random)
}

// connectionOpenLoad is the load added for opening a connection, in halves of a statement.
// Opening one takes a slot for about as long as a statement does.
const connectionOpenLoad = 2

// tieBreak ranks members whose scores are otherwise equal.
func (r Read) tieBreak(address string, random *rand.Rand) int {
	if r.Owner == "" {
		return random.IntN(tieBreakRange)
	}
	return int(xxhash.Sum64String(r.Owner+"\x00"+address) % tieBreakRange)
}

func isEligible(s *group.Snapshot, m group.MemberView, r Read) bool {
	st := m.Status
	if m.Address == s.Primary {
		return r.SpillToPrimary > 0 && !r.Exclude[m.Address] && !m.Leaving && m.FailingSince.IsZero()
	}
	switch {
	case r.Exclude[m.Address], m.Leaving, !m.FailingSince.IsZero():
		return false
	case r.MemberChecksPosition:
		// Replicas that are reserved for a promotion also answer reads.
		return st.Role != member.RolePrimary && (r.Lacks == nil || !r.Lacks(m.Address))
	case st.Role != member.RoleReplica:
		return false
	case st.AttachedTerm != s.Term || st.EnteredTerm != s.Term:
		// A replica of another term may still have log entries that were discarded.
		return false
	case st.LastRecord.Position < r.Required:
		return false
	}
	return r.NotBefore.IsZero() || !m.FreshAsOf.Before(r.NotBefore)
}
