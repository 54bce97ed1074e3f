package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/wire"
)

// executeAtPrimary runs a unit at the primary, once. The unit is sent again only if it is proved
// not to have run, or if it only reads.
func (g *Group) executeAtPrimary(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, error) {
	if g.avoidsPrimary(u, p) {
		return g.executeRead(ctx, u, p, partial)
	}
	for attempt := 1; ; attempt++ {
		reply, err := g.runAtPrimary(ctx, u, p, partial)
		if err == nil {
			return reply, nil
		}
		if g.mayReadElsewhere(u, p, err) {
			return g.executeRead(ctx, u, p, partial)
		}
		if g.mayResend(ctx, p, err, attempt) || p.read && g.mayRetryRead(ctx, err, attempt) {
			g.Logger.Info("Retrying statement at the primary.", "request", u.RequestName, "unit", u.ID, "group", g.Group, "attempt", attempt, "error", err)
			continue
		}
		if p.keyed(u) {
			err = g.resolveOutcome(ctx, requestKey{u.Key, u.ConnectionOwner}, err)
		}
		return nil, err
	}
}

// runAtPrimary sends the unit to the primary and confirms it. The slot is released when the
// member has finished, because confirmation does not need one.
func (g *Group) runAtPrimary(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, error) {
	s, err := g.writablePrimary()
	if err != nil {
		return nil, err
	}
	slot, err := g.acquireSlot(ctx, p, s.Primary)
	if err != nil {
		return nil, err
	}
	// The primary may have been replaced during the wait.
	if s, err = g.writablePrimary(); err != nil {
		releaseUnusedSlot(slot)
		return nil, err
	}
	c, err := g.Pool.Acquire(ctx, s.Primary, u.ConnectionOwner)
	if err != nil {
		releaseUnusedSlot(slot)
		g.reportUnreachable(s.Primary, err)
		return nil, err
	}
	x := newExchange(c, u, p, partial)
	x.term = s.Term
	x.keyed = p.keyed(u)
	if err := g.setReadRequirement(ctx, u, p, x); err != nil {
		releaseUnusedSlot(slot)
		g.Pool.Release(c)
		return nil, err
	}
	err = g.runExchange(ctx, p, x, g.primarySteps(u, p)...)
	if err == nil && x.refused() || callerLeft(err) {
		slot.MarkNotExecuted()
	}
	g.markUnanswered(slot, err)
	slot.MarkAnswered()
	if err != nil || x.TxStatus == wire.Idle || !g.Wire.SlotPerConnection {
		slot.Release()
		slot = nil
	}
	if err != nil {
		x.verification.Cancel()
		g.Pool.Release(c)
		g.reportBrokenConn(x, err)
		return nil, unknownOutcomeError(ctx, err)
	}
	return g.completeAtPrimary(ctx, u, p, x, slot)
}

// setReadRequirement sets in x what reads at the primary require, including those of a transaction
// that the unit opens. A read of a level that runs at the primary requires a proof that the primary had
// not been replaced when the read began; other reads require a log position.
func (g *Group) setReadRequirement(ctx context.Context, u *execution.Unit, p plan, x *exchange) error {
	if !g.Wire.ChecksPosition || !u.ReadOnly && !u.BeginsTransaction {
		return nil
	}
	if p.consistency.RunsAtPrimary() {
		v, err := g.Tracker.Verify()
		x.verification = v
		return err
	}
	req, err := g.checkedRequirement(ctx, u, p)
	x.Required = req.mark
	return err
}

// primarySteps returns the steps to send to the primary for a unit outside a transaction.
func (g *Group) primarySteps(u *execution.Unit, p plan) []wire.Step {
	unit, report := wire.Step{Kind: wire.StepUnit}, wire.Step{Kind: wire.StepMemberStatus}
	storeKey := wire.Step{Kind: wire.StepStoreKey, Key: u.Key, Outcome: wire.KeyRan}
	switch {
	case p.keyed(u) && u.BeginsTransaction:
		return []wire.Step{unit, storeKey}
	case p.keyed(u):
		return []wire.Step{{Kind: wire.StepBegin}, storeKey, unit, {Kind: wire.StepCommit}, report}
	case g.Wire.ChecksPosition && p.consistency.RunsAtPrimary() && u.IsReadOnly():
		// Only the report shows whether the member was the primary; a replica also reads.
		return []wire.Step{report, unit}
	case u.BeginsTransaction, g.Wire.ReportsLogPosition:
		return []wire.Step{unit}
	default:
		return []wire.Step{unit, report}
	}
}
