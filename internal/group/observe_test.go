package group_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/result"
)

// still returns a watcher that asks nobody: the test hands in every report.
func still(members ...string) *group.Watcher {
	var list []document.Member
	for _, m := range members {
		list = append(list, document.Member{Address: m})
	}
	return group.NewWatcher(group.Config{Group: "g", Members: list, Clock: clock.System{}})
}

func leads(term logpos.Term, p logpos.Position) member.Status {
	return member.Status{Role: member.RolePrimary, Entered: term, Attached: term, Last: logpos.Mark{Term: term, Position: p}}
}

func follows(term logpos.Term, p logpos.Position) member.Status {
	s := leads(term, p)
	s.Role = member.RoleReplica
	return s
}

// outcomeOf runs f in the background and returns where its error will be.
func outcomeOf(f func() error) chan error {
	c := make(chan error, 1)
	go func() { c <- f() }()
	synctest.Wait()
	return c
}

// A replica answers a question and is fenced in the next term right after; the
// answer is still on its way when a read arrives and takes a barrier. The old
// answer must not let the read pass, for a newer primary may have acknowledged
// writes already.
func TestReportAskedForBeforeTheBarrierDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := still("p", "r", "q")
		w.Observe("p", w.Ask(), leads(1, 100))
		early := w.Ask()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		barrier := outcomeOf(func() error { _, err := w.Barrier(ctx); return err })
		confirm := outcomeOf(func() error { return w.Confirm(ctx, logpos.Mark{Term: 1, Position: 100}) })
		w.Observe("p", w.Ask(), leads(1, 100))
		w.Observe("r", early, follows(1, 100))
		synctest.Wait()
		is.Equal(len(barrier), 0)
		is.Equal(len(confirm), 0)
		w.Observe("r", w.Ask(), member.Status{Role: member.RoleFenced, Entered: 2})
		is.Equal(codeOf(<-barrier), result.NoPrimary)
		is.Equal(codeOf(<-confirm), result.PrimaryReplaced)
	})
}

// A member comes back with the report of an old primary after a higher term was
// seen. It must never be shown as the primary.
func TestPrimaryOfAnOldTermIsNeverShown(t *testing.T) {
	is := is.New(t)
	w := still("p", "r", "q")
	w.Observe("r", w.Ask(), member.Status{Role: member.RoleFenced, Entered: 2})
	w.Observe("p", w.Ask(), leads(1, 100))
	is.Equal(w.Snapshot().Term, logpos.Term(2))
	is.Equal(w.Snapshot().Primary, "")
	w.Observe("r", w.Ask(), leads(2, 90))
	is.Equal(w.Snapshot().Primary, "r")
}

// The term changes and a replica drops a tail. What was proved of its age stays
// while it holds the records that proved it, and ends once its log is shorter.
func TestProofOfAgeEndsWithTheRecordsThatProvedIt(t *testing.T) {
	is := is.New(t)
	w := still("p", "r", "q")
	fresh := func() time.Time {
		v, _ := w.Snapshot().Find("r")
		return v.FreshAsOf
	}
	w.Observe("p", w.Ask(), leads(1, 100))
	w.Observe("r", w.Ask(), follows(1, 120))
	proved := fresh()
	is.True(!proved.IsZero())
	w.Observe("q", w.Ask(), leads(2, 110))
	w.Observe("r", w.Ask(), member.Status{Role: member.RoleReplica, Entered: 2, Last: logpos.Mark{Term: 1, Position: 110}})
	is.Equal(fresh(), proved)
	w.Observe("r", w.Ask(), member.Status{Role: member.RoleReplica, Entered: 2, Last: logpos.Mark{Term: 1, Position: 90}})
	is.True(fresh().IsZero())
}

// Two connections deliver a member's reports in the wrong order. The view must
// not go back to the older one.
func TestOlderReportDoesNotTakeTheViewBack(t *testing.T) {
	is := is.New(t)
	w := still("p", "r", "q")
	early := w.Ask()
	w.Observe("r", w.Ask(), follows(1, 200))
	w.Observe("r", early, follows(1, 100))
	v, _ := w.Snapshot().Find("r")
	is.Equal(v.Status.Last.Position, logpos.Position(200))
}
