package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
)

// Execute implements execution.Executor for the group's units.
func (g *Group) Execute(ctx context.Context, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	if cause, ok := result.FromCause(ctx); ok {
		return nil, g.Metrics.countRefusal(g.Group, cause)
	}
	p, err := newPlan(g.Service(), u)
	if err != nil {
		return nil, g.Metrics.countRefusal(g.Group, err)
	}
	arrived := g.Clock.Now()
	if p.objective > 0 {
		p.objectiveDeadline = arrived.Add(p.objective - u.SinceFirstAttempt)
	}
	ctx, cancel := context.WithDeadline(ctx, arrived.Add(min(u.Timeout, p.timeout)))
	defer cancel()
	g.Budget.RecordRequest()
	reply, err := g.dispatch(ctx, u, p, partial)
	if err != nil {
		return nil, g.Metrics.countRefusal(g.Group, departureError(ctx, err))
	}
	g.Metrics.countAnswer(g.Group, p.class, reply.Replica)
	return reply, nil
}

func (g *Group) dispatch(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, error) {
	switch {
	case u.Transaction != "":
		return g.continueTransaction(ctx, u, p, partial)
	case !p.needsPrimary():
		return g.executeRead(ctx, u, p, partial)
	default:
		return g.executeAtPrimary(ctx, u, p, partial)
	}
}

// CancelUnit implements execution.Executor.
func (g *Group) CancelUnit(_, unitID string) {
	c := g.runningUnits.claimCancel(unitID)
	if c == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	if err := c.Cancel(ctx, g.Dialer); err != nil {
		g.Logger.Debug("Sending the cancel request failed.", "member", c.Address(), "error", err)
	}
}
