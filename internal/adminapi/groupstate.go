package adminapi

import (
	"time"

	"github.com/topazrock/topazrock/internal/group"
)

// GroupState sums a group up for an operator.
type GroupState string

// States of a group.
const (
	GroupHealthy GroupState = "healthy"
	// GroupDegraded: reads and writes go on, but a member fails, leaves or is
	// not attached to the primary.
	GroupDegraded GroupState = "degraded"
	// GroupUnconfirmed: writes are refused, no replica confirms them.
	GroupUnconfirmed GroupState = "unconfirmed"
	// GroupNoPrimary: writes are refused, no primary is known.
	GroupNoPrimary GroupState = "no primary"
)

// confirmWindow is the age of the last replica report past which the state is
// shown as unconfirmed. It is for display; routing has its own bound.
const confirmWindow = 3 * time.Second

// viewGroup describes a snapshot as of now.
func viewGroup(s *group.Snapshot, now time.Time) GroupView {
	v := GroupView{Name: s.Group, Term: uint64(s.Term), Primary: s.Primary, Members: []MemberView{}}
	primary, _ := s.Find(s.Primary)
	for _, m := range s.Members {
		v.Members = append(v.Members, viewMember(s, m, primary, now))
	}
	v.State = groupState(s, now)
	return v
}

// viewMember describes one member against its group's primary.
func viewMember(s *group.Snapshot, m, primary group.MemberView, now time.Time) MemberView {
	v := MemberView{
		Address:       m.Address,
		FailureDomain: m.FailureDomain,
		Role:          string(m.Status.Role),
		Term:          uint64(m.Status.Entered),
		Position:      uint64(m.Status.Last.Position),
		LagBytes:      -1,
		FreshMillis:   -1,
		Failing:       !m.Failing.IsZero(),
		Leaving:       m.Leaving,
	}
	if s.Primary != "" && m.Status.Attached == s.Term && primary.Status.Entered == s.Term {
		// The reports were asked for at different moments: a replica's may be
		// the newer one and show a position past the primary's.
		lag := int64(primary.Status.Last.Position) - int64(m.Status.Last.Position)
		v.LagBytes = max(0, lag)
	}
	if !m.FreshAsOf.IsZero() {
		v.FreshMillis = max(0, now.Sub(m.FreshAsOf).Milliseconds())
	}
	return v
}

// groupState sums a snapshot up.
func groupState(s *group.Snapshot, now time.Time) GroupState {
	if s.Primary == "" {
		return GroupNoPrimary
	}
	if s.ConfirmedAt.IsZero() || now.Sub(s.ConfirmedAt) > confirmWindow {
		return GroupUnconfirmed
	}
	for _, m := range s.Members {
		if !m.Failing.IsZero() || m.Leaving || m.Status.Attached != s.Term {
			return GroupDegraded
		}
	}
	return GroupHealthy
}
