package group

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// A floor was proven while the group had no primary, and its last record is on only one
// member. Another member without that record is promoted. Reads with a staleness bound of
// a second must not use the old floor: no log of the new term ever holds that position, so
// every member would refuse them until the floor is too old.
func TestFloorIsDroppedWithItsTerm(t *testing.T) {
	is := is.New(t)
	w := NewWatcher(Config{Group: "g", MinSize: 3, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 2)),
		Members: []document.Member{{Address: "a"}, {Address: "b"}, {Address: "c"}}})
	before := time.Now()
	wt := w.startFloor()
	for address, end := range map[string]logpos.Position{"b": 10, "c": 12} {
		w.RecordReport(address, w.NewTicket(), member.Status{Role: member.RoleReplica, EnteredTerm: 1, AttachedTerm: 1, LastRecord: logpos.TermPosition{Term: 1, Position: end}})
	}
	is.True(wt.ended())
	mark, ok := w.ProvenPosition(before)
	is.True(ok)
	is.Equal(mark, logpos.TermPosition{Term: 1, Position: 12})
	w.RecordReport("b", w.NewTicket(), member.Status{Role: member.RolePrimary, EnteredTerm: 2, AttachedTerm: 2, LastRecord: logpos.TermPosition{Term: 1, Position: 10}})
	_, ok = w.ProvenPosition(before)
	is.True(!ok)
}
