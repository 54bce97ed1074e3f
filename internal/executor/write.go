package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
)

// write runs a unit at the primary, once. It is sent again only where it was
// proved not to have run, or where it only reads.
func (g *Group) write(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, error) {
	for attempt := 1; ; attempt++ {
		reply, err := g.atPrimary(ctx, u, p, partial)
		if err == nil {
			return reply, nil
		}
		if g.mayReadElsewhere(u, p, err) {
			return g.read(ctx, u, p, partial)
		}
		if g.mayResend(ctx, p, err, attempt) || p.read && g.mayRetryRead(ctx, err, attempt) {
			g.Logger.Info("Statement is sent to the primary again.", "request", u.Request, "unit", u.ID, "group", g.Group, "attempt", attempt, "error", err)
			continue
		}
		if p.keyed(u) {
			err = g.settle(ctx, u.Key, err)
		}
		return nil, err
	}
}

// mayReadElsewhere reports whether a read that wants the primary may go to any member
// whose log holds what a majority proves: there is no primary to ask, or it failed the
// read, and members check positions themselves. Reads of a group that lost its primary
// so go on while it is replaced, which takes seconds, and in a failure domain that
// cannot replace it.
func (g *Group) mayReadElsewhere(u *execution.Unit, p plan, err error) bool {
	if !g.Wire.ChecksPosition || !p.read || !u.ReadOnly || u.Begins && !u.ReadTransaction {
		return false
	}
	e, ok := result.As(err)
	return ok && primaryFailed[e.Code] && g.majorityAnswers()
}

// primaryFailed are the codes of a read for which there was no primary, or none that
// answered.
var primaryFailed = map[result.Code]bool{
	result.NoPrimary:           true,
	result.NoConfirmingReplica: true,
	result.UpstreamUnreachable: true,
	result.ConnectionLost:      true,
	result.StatementTimeout:    true,
}
