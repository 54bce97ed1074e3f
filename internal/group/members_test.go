package group_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/group"
)

// only is the fixture's members but for those of some indices.
func (x *fixture) only(indices ...int) []document.Member {
	var members []document.Member
	for _, i := range indices {
		members = append(members, document.Member{Address: x.addresses[i], FailureDomain: string(rune('a' + i))})
	}
	return members
}

// A member leaves for good and its entry goes. It is not asked any more, but a
// majority is still counted over the least size of a group: two members that take
// each other for all there is could lead beside one that nobody lists.
func TestMemberThatLeavesIsNotAskedButCounts(t *testing.T) {
	watched(t, 3, func(x *fixture) {
		is := is.New(t)
		x.w.SetMembers(x.only(0, 1), 3)
		x.after(time.Second)
		s := x.w.Snapshot()
		is.Equal(len(s.Members), 2)
		is.Equal(s.Size, 3)
		is.Equal(s.Primary, x.addresses[0])
		x.w.SetMembers(x.only(0, 1, 2), 3)
		x.after(time.Second)
		is.True(slices.ContainsFunc(x.w.Snapshot().Members, func(m group.MemberView) bool {
			return m.Address == x.addresses[2] && m.Failures == 0 && !m.SeenAt.IsZero()
		}))
	})
}

// The entry of the primary goes while it is replaced. Nobody is the primary until a
// member says that it leads, so that no write is sent to where nobody listens.
func TestPrimaryWhoseEntryIsGoneLeadsNoMore(t *testing.T) {
	watched(t, 3, func(x *fixture) {
		is := is.New(t)
		x.w.SetMembers(x.only(1, 2), 3)
		is.Equal(x.w.Snapshot().Primary, "")
		x.promote(2, 1, 2)
		x.after(time.Second)
		s := x.w.Snapshot()
		is.Equal(s.Primary, x.addresses[1])
		is.Equal(s.Term, s.Led)
	})
}
