package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/result"
)

// emptyUnit stands in exchanges that serve no caller's unit.
var emptyUnit = &execution.Unit{}

// confirm waits until the group confirms what the primary told behind the unit.
// The check comes after the answer, so that an instance that was frozen between
// sending and here cannot pass on the answer of a replaced primary.
func (g *Group) confirm(ctx context.Context, p plan, x *exchange) (logpos.Mark, error) {
	ctx, cancel := context.WithDeadline(ctx, g.confirmDeadline(ctx, p))
	defer cancel()
	if x.Log != (logpos.Mark{}) {
		// The answer to the commit itself tells its place in the log.
		return x.Log, g.Tracker.ConfirmCommit(ctx, x.Log)
	}
	mark, err := reportedMark(x)
	if err != nil {
		return logpos.Mark{}, err
	}
	if err := g.Tracker.Confirm(ctx, mark); err != nil {
		return logpos.Mark{}, err
	}
	return mark, nil
}

// reportedMark is the mark that the report behind the unit shows.
//
// The report must be of the term that the member led in before anything was
// sent. Between the commit and the report behind it a member may be fenced, drop
// the commit with its tail, and lead again; positions of that later term would
// confirm a write that is gone.
func reportedMark(x *exchange) (logpos.Mark, error) {
	s := x.Report
	if s == nil || s.Role != member.RolePrimary || s.Entered != x.term || s.Last.Term != x.term {
		return logpos.Mark{}, result.New(result.PrimaryReplaced, "the member no longer leads")
	}
	return logpos.Mark{Term: s.Entered, Position: s.Last.Position}, nil
}

func (g *Group) token(m logpos.Mark) logpos.Token { return logpos.Token{Group: g.Group, Mark: m} }
