package executor

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

// confirmingTracker is a tracker that confirms every mark.
type confirmingTracker struct {
	group.Tracker
	confirmed []logpos.TermPosition
}

// Confirm implements group.Tracker.
func (t *confirmingTracker) Confirm(_ context.Context, m logpos.TermPosition) error {
	t.confirmed = append(t.confirmed, m)
	return nil
}

// A unit is sent to the primary of term 1 and commits there. Before the report after it runs,
// the member is fenced, truncates the commit from its log and becomes primary again in term 3.
// Positions of term 3 do not confirm the commit, so the caller must get an unknown outcome.
func TestReportOfLaterTermDoesNotConfirmWrite(t *testing.T) {
	is := is.New(t)
	tracker := &confirmingTracker{}
	g := &Group{Config: Config{Tracker: tracker, Clock: clock.System{}}}
	confirmPlan := plan{limits: document.Limits{ConfirmTimeout: time.Second}}
	report := &member.Status{Role: member.RolePrimary, EnteredTerm: 3, LastRecord: logpos.TermPosition{Term: 3, Position: 90}}

	_, err := g.confirm(t.Context(), confirmPlan, &exchange{term: 1, Exchange: wire.Exchange{Outcome: wire.Outcome{MemberStatus: report}}})
	e, ok := result.As(err)
	is.True(ok)
	is.Equal(e.Code, result.PrimaryReplaced)
	is.Equal(len(tracker.confirmed), 0)

	mark, err := g.confirm(t.Context(), confirmPlan, &exchange{term: 3, Exchange: wire.Exchange{Outcome: wire.Outcome{MemberStatus: report}}})
	is.NoErr(err)
	is.Equal(tracker.confirmed, []logpos.TermPosition{mark})
}

// failureCounter is a tracker that counts reported failures.
type failureCounter struct {
	group.Tracker
	failures int
}

// ReportFailure implements group.Tracker.
func (c *failureCounter) ReportFailure(string) { c.failures++ }

func TestOnlyUnreachableMemberIsReportedToTracker(t *testing.T) {
	is := is.New(t)
	tracker := &failureCounter{}
	g := &Group{Config: Config{Tracker: tracker}}
	g.reportUnreachable("m", result.New(result.TooManyConnections, "share in use"))
	g.reportUnreachable("m", result.New(result.Draining, "leaving"))
	is.Equal(tracker.failures, 0)
	g.reportUnreachable("m", result.New(result.UpstreamUnreachable, "no route"))
	is.Equal(tracker.failures, 1)
}

// snapshotTracker is a tracker with a fixed snapshot.
type snapshotTracker struct {
	group.Tracker
	snapshot group.Snapshot
}

// Snapshot implements group.Tracker.
func (s *snapshotTracker) Snapshot() *group.Snapshot { return &s.snapshot }

// A write that cannot be confirmed is refused before it is sent: the primary does not answer,
// no replica has reported recently, or none has made progress for as long as a confirmation may
// take.
func TestWriteThatCannotBeConfirmedIsNotSent(t *testing.T) {
	now := time.Now()
	healthy := group.Snapshot{Term: 1, Primary: "p", QuorumAttachedAt: now, Members: []group.MemberView{{Address: "p"}}}
	for name, c := range map[string]struct {
		change func(*group.Snapshot)
		code   result.Code
	}{
		"healthy":            {func(*group.Snapshot) {}, 0},
		"one probe":          {func(s *group.Snapshot) { s.Members = []group.MemberView{{Address: "p", Failures: 1}} }, 0},
		"brief stall":        {func(s *group.Snapshot) { s.StalledSince = now.Add(-100 * time.Millisecond) }, 0},
		"no primary known":   {func(s *group.Snapshot) { s.Primary = "" }, result.NoPrimary},
		"primary lost":       {func(s *group.Snapshot) { s.Members = []group.MemberView{{Address: "p", Failures: 3}} }, result.NoPrimary},
		"long stall":         {func(s *group.Snapshot) { s.StalledSince = now.Add(-time.Minute) }, result.NoConfirmingReplica},
		"no replica reports": {func(s *group.Snapshot) { s.QuorumAttachedAt = now.Add(-time.Minute) }, result.NoConfirmingReplica},
	} {
		s := healthy
		c.change(&s)
		service := &document.Service{Limits: document.Limits{ConfirmTimeout: time.Second}}
		g := &Group{primaryWait: newPrimaryWait(), Config: Config{Clock: clock.System{}, Tracker: &snapshotTracker{snapshot: s}, Service: func() *document.Service { return service }}}
		_, err := g.writablePrimary()
		if e, _ := result.As(err); (err == nil) != (c.code == 0) || (e != nil && e.Code != c.code) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
