package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/execution"
)

// write runs a unit at the primary, once. It is sent again only where it was
// proved not to have run, or where it only reads.
func (g *Group) write(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, error) {
	for attempt := 1; ; attempt++ {
		reply, err := g.atPrimary(ctx, u, p, partial)
		if err == nil {
			return reply, nil
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
