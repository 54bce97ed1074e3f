package group_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/group"
)

// membersAt returns the fixture's members with the given indices.
func (x *fixture) membersAt(indices ...int) []document.Member {
	var members []document.Member
	for _, i := range indices {
		members = append(members, document.Member{Address: x.addresses[i], FailureDomain: string(rune('a' + i))})
	}
	return members
}

// A member leaves permanently and its entry is removed. It is no longer queried, but a
// majority is still counted over the minimum group size: two members that count only each
// other could elect a primary while an unlisted one still acts as primary.
func TestUnlistedMemberIsNotQueriedButCounts(t *testing.T) {
	withGroup(t, 3, func(x *fixture) {
		is := is.New(t)
		x.w.SetMembers(x.membersAt(0, 1), 3)
		x.advance(time.Second)
		s := x.w.Snapshot()
		is.Equal(len(s.Members), 2)
		is.Equal(s.Size, 3)
		is.Equal(s.Primary, x.addresses[0])
		x.w.SetMembers(x.membersAt(0, 1, 2), 3)
		x.advance(time.Second)
		is.True(slices.ContainsFunc(x.w.Snapshot().Members, func(m group.MemberView) bool {
			return m.Address == x.addresses[2] && m.Failures == 0 && !m.ReportedAt.IsZero()
		}))
	})
}

// The primary's entry is removed while it is being replaced. The group has no primary
// until a member reports itself as primary, so that no write is sent to the unlisted one.
func TestUnlistedPrimaryIsNoLongerPrimary(t *testing.T) {
	withGroup(t, 3, func(x *fixture) {
		is := is.New(t)
		x.w.SetMembers(x.membersAt(1, 2), 3)
		is.Equal(x.w.Snapshot().Primary, "")
		x.promote(2, 1, 2)
		x.advance(time.Second)
		s := x.w.Snapshot()
		is.Equal(s.Primary, x.addresses[1])
		is.Equal(s.Term, s.LedTerm)
	})
}
