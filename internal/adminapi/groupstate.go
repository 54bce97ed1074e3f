package adminapi

import (
	"time"

	"github.com/topazrock/topazrock/internal/group"
)

// GroupState summarizes the state of a group for operators.
type GroupState string

// States of a group.
const (
	GroupHealthy GroupState = "healthy"
	// GroupDegraded: reads and writes are served, but a member is failing,
	// leaving or not attached to the primary.
	GroupDegraded GroupState = "degraded"
	// GroupUnconfirmed: writes are refused because no replica confirms them.
	GroupUnconfirmed GroupState = "unconfirmed"
	// GroupNoPrimary: writes are refused because no primary is known.
	GroupNoPrimary GroupState = "no primary"
)

// maxConfirmationAge is the maximum age of the last reports of enough attached replicas. If
// they are older, the group is shown as unconfirmed. The limit is for display only; routing
// has a limit of its own.
const maxConfirmationAge = 3 * time.Second

// newGroupView converts a snapshot; ages are computed as of now.
func newGroupView(s *group.Snapshot, now time.Time) GroupView {
	v := GroupView{Name: s.Group, Term: uint64(s.Term), Primary: s.Primary, Members: []MemberView{}}
	primary, _ := s.FindMember(s.Primary)
	for _, m := range s.Members {
		v.Members = append(v.Members, newMemberView(s, m, primary, now))
	}
	v.State = deriveGroupState(s, now)
	return v
}

// newMemberView converts a member; its lag is relative to primary.
func newMemberView(s *group.Snapshot, m, primary group.MemberView, now time.Time) MemberView {
	v := MemberView{
		Address:       m.Address,
		FailureDomain: m.FailureDomain,
		Role:          string(m.Status.Role),
		Term:          uint64(m.Status.EnteredTerm),
		Position:      uint64(m.Status.LastRecord.Position),
		LagBytes:      -1,
		MaxAgeMillis:  -1,
		Failing:       !m.FailingSince.IsZero(),
		Leaving:       m.Leaving,
	}
	if s.Primary != "" && m.Status.AttachedTerm == s.Term && primary.Status.EnteredTerm == s.Term {
		// The two reports were requested at different times. If the replica's report is
		// newer, its position can be beyond the position in the primary's report.
		lag := int64(primary.Status.LastRecord.Position) - int64(m.Status.LastRecord.Position)
		v.LagBytes = max(0, lag)
	}
	if !m.FreshAsOf.IsZero() {
		v.MaxAgeMillis = max(0, now.Sub(m.FreshAsOf).Milliseconds())
	}
	return v
}

// deriveGroupState returns the state of the group in a snapshot.
func deriveGroupState(s *group.Snapshot, now time.Time) GroupState {
	if s.Primary == "" {
		return GroupNoPrimary
	}
	if s.QuorumAttachedAt.IsZero() || now.Sub(s.QuorumAttachedAt) > maxConfirmationAge {
		return GroupUnconfirmed
	}
	for _, m := range s.Members {
		if !m.FailingSince.IsZero() || m.Leaving || m.Status.AttachedTerm != s.Term {
			return GroupDegraded
		}
	}
	return GroupHealthy
}
