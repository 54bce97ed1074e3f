package group

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// A write is committed at a leaving primary, and the primary's entry is removed while the
// write waits for its confirmation. From then on quorums are counted without the primary,
// so it must not count for the confirmation: otherwise one replica of three would suffice
// while the two others promote a member that lacks the write, and an acknowledged write
// would be lost.
func TestPrimaryThatIsNotListedConfirmsNothing(t *testing.T) {
	is := is.New(t)
	listed := func(addresses ...string) []document.Member {
		var members []document.Member
		for _, a := range addresses {
			members = append(members, document.Member{Address: a, FailureDomain: a})
		}
		return members
	}
	w := NewWatcher(Config{
		Group: "g", Members: listed("m0", "m1", "m2", "m3"), MinSize: document.MinMembers, Clock: clock.System{},
		Rand: rand.New(rand.NewPCG(1, 2)),
	})
	mark := logpos.TermPosition{Term: 1, Position: 5}
	report := func(address string, role member.Role) {
		w.RecordReport(address, w.NewTicket(), member.Status{Role: role, EnteredTerm: 1, AttachedTerm: 1, LastRecord: mark})
	}
	report("m0", member.RolePrimary)
	wt, err := w.startConfirm(mark, true)
	is.NoErr(err)
	report("m1", member.RoleReplica)
	is.True(!waiterEnded(wt)) // two of four

	w.SetMembers(listed("m1", "m2", "m3"), document.MinMembers)
	is.True(!waiterEnded(wt)) // one of three
	report("m1", member.RoleReplica)
	is.True(!waiterEnded(wt))
	report("m2", member.RoleReplica)
	is.True(waiterEnded(wt))
	is.NoErr(wt.err)
}
