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
)

// agreeable is a tracker that confirms every mark.
type agreeable struct {
	group.Tracker
	asked []logpos.Mark
}

// Confirm implements group.Tracker.
func (a *agreeable) Confirm(_ context.Context, m logpos.Mark) error {
	a.asked = append(a.asked, m)
	return nil
}

// A unit is sent to the primary of term 1 and commits there. Before the report
// behind it runs, the member is fenced, drops the commit with its tail, and leads
// again in term 3. The positions of term 3 say nothing of the commit, so that the
// caller must hear that the outcome is unknown.
func TestReportOfALaterTermConfirmsNothing(t *testing.T) {
	is := is.New(t)
	tracker := &agreeable{}
	g := &Group{Config: Config{Tracker: tracker, Clock: clock.System{}}}
	limits := plan{limits: document.Limits{ConfirmTimeout: time.Second}}
	report := &member.Status{Role: member.RolePrimary, Entered: 3, Last: logpos.Mark{Term: 3, Position: 90}}

	_, err := g.confirm(t.Context(), limits, &exchange{term: 1, status: report})
	e, ok := result.As(err)
	is.True(ok)
	is.Equal(e.Code, result.PrimaryReplaced)
	is.Equal(len(tracker.asked), 0)

	mark, err := g.confirm(t.Context(), limits, &exchange{term: 3, status: report})
	is.NoErr(err)
	is.Equal(tracker.asked, []logpos.Mark{mark})
}

// reported counts the failures that a tracker was told of.
type reported struct {
	group.Tracker
	failures int
}

// ReportFailure implements group.Tracker.
func (r *reported) ReportFailure(string) { r.failures++ }

func TestOnlyAnUnreachableMemberIsReported(t *testing.T) {
	is := is.New(t)
	tracker := &reported{}
	g := &Group{Config: Config{Tracker: tracker}}
	g.reportRefused("m", result.New(result.TooManyConnections, "share in use"))
	g.reportRefused("m", result.New(result.Draining, "leaving"))
	is.Equal(tracker.failures, 0)
	g.reportRefused("m", result.New(result.UpstreamUnreachable, "no route"))
	is.Equal(tracker.failures, 1)
}
