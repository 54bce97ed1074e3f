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

// newPassiveWatcher returns a watcher that sends no queries: the test passes in each report.
func newPassiveWatcher(members ...string) *group.Watcher {
	var list []document.Member
	for _, m := range members {
		list = append(list, document.Member{Address: m})
	}
	return group.NewWatcher(group.Config{Group: "g", Members: list, Clock: clock.System{}})
}

func primaryStatus(term logpos.Term, p logpos.Position) member.Status {
	return member.Status{Role: member.RolePrimary, EnteredTerm: term, AttachedTerm: term, LastRecord: logpos.TermPosition{Term: term, Position: p}}
}

func replicaStatus(term logpos.Term, p logpos.Position) member.Status {
	s := primaryStatus(term, p)
	s.Role = member.RoleReplica
	return s
}

// runAsync runs f in the background and returns a channel that receives its error.
func runAsync(f func() error) chan error {
	c := make(chan error, 1)
	go func() { c <- f() }()
	synctest.Wait()
	return c
}

// A replica answers a query and is fenced in the next term immediately afterwards. The
// answer is still in transit when a read arrives and starts a barrier. The old answer must
// not satisfy the barrier, because a newer primary may already have acknowledged writes.
func TestReportRequestedBeforeTheBarrierDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPassiveWatcher("p", "r", "q")
		w.RecordReport("p", w.NewTicket(), primaryStatus(1, 100))
		early := w.NewTicket()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		barrier := runAsync(func() error { _, err := w.Barrier(ctx); return err })
		confirm := runAsync(func() error { return w.Confirm(ctx, logpos.TermPosition{Term: 1, Position: 100}) })
		w.RecordReport("p", w.NewTicket(), primaryStatus(1, 100))
		w.RecordReport("r", early, replicaStatus(1, 100))
		synctest.Wait()
		is.Equal(len(barrier), 0)
		is.Equal(len(confirm), 0)
		w.RecordReport("r", w.NewTicket(), member.Status{Role: member.RoleFenced, EnteredTerm: 2})
		is.Equal(codeOf(<-barrier), result.NoPrimary)
		is.Equal(codeOf(<-confirm), result.PrimaryReplaced)
	})
}

// A member returns with the report of an old primary after a higher term was seen. It must
// never be shown as the primary.
func TestPrimaryOfAnOldTermIsNeverShown(t *testing.T) {
	is := is.New(t)
	w := newPassiveWatcher("p", "r", "q")
	w.RecordReport("r", w.NewTicket(), member.Status{Role: member.RoleFenced, EnteredTerm: 2})
	w.RecordReport("p", w.NewTicket(), primaryStatus(1, 100))
	is.Equal(w.Snapshot().Term, logpos.Term(2))
	is.Equal(w.Snapshot().Primary, "")
	w.RecordReport("r", w.NewTicket(), primaryStatus(2, 90))
	is.Equal(w.Snapshot().Primary, "r")
}

// The term changes and a replica drops a tail. The proven age of its data remains valid
// while the replica holds the records that proved it, and ends once its log is shorter.
func TestProofOfAgeEndsWithTheRecordsThatProvedIt(t *testing.T) {
	is := is.New(t)
	w := newPassiveWatcher("p", "r", "q")
	fresh := func() time.Time {
		v, _ := w.Snapshot().FindMember("r")
		return v.FreshAsOf
	}
	w.RecordReport("p", w.NewTicket(), primaryStatus(1, 100))
	w.RecordReport("r", w.NewTicket(), replicaStatus(1, 120))
	proved := fresh()
	is.True(!proved.IsZero())
	w.RecordReport("q", w.NewTicket(), primaryStatus(2, 110))
	w.RecordReport("r", w.NewTicket(), member.Status{Role: member.RoleReplica, EnteredTerm: 2, LastRecord: logpos.TermPosition{Term: 1, Position: 110}})
	is.Equal(fresh(), proved)
	w.RecordReport("r", w.NewTicket(), member.Status{Role: member.RoleReplica, EnteredTerm: 2, LastRecord: logpos.TermPosition{Term: 1, Position: 90}})
	is.True(fresh().IsZero())
}

// Two connections deliver a member's reports out of order. The view must not revert to the
// older one.
func TestOlderReportDoesNotReplaceANewerOne(t *testing.T) {
	is := is.New(t)
	w := newPassiveWatcher("p", "r", "q")
	early := w.NewTicket()
	w.RecordReport("r", w.NewTicket(), replicaStatus(1, 200))
	w.RecordReport("r", early, replicaStatus(1, 100))
	v, _ := w.Snapshot().FindMember("r")
	is.Equal(v.Status.LastRecord.Position, logpos.Position(200))
}
