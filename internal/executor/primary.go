package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/wire"
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
			err = g.settle(ctx, requestKey{u.Key, u.Owner}, err)
		}
		return nil, err
	}
}

// atPrimary sends the unit to the primary and confirms it. The slot is given back
// when the member has finished: confirmation needs none.
func (g *Group) atPrimary(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, error) {
	s, err := g.writablePrimary()
	if err != nil {
		return nil, err
	}
	slot, err := g.enter(ctx, p, s.Primary)
	if err != nil {
		return nil, err
	}
	// The wait may have outlived the primary.
	if s, err = g.writablePrimary(); err != nil {
		leaveUnserved(slot)
		return nil, err
	}
	c, err := g.Pool.Acquire(ctx, s.Primary, u.Owner)
	if err != nil {
		leaveUnserved(slot)
		g.reportRefused(s.Primary, err)
		return nil, err
	}
	x := newExchange(c, u, p, partial)
	x.term = s.Term
	x.keyed = p.keyed(u)
	if err := g.proveReads(ctx, u, p, x); err != nil {
		leaveUnserved(slot)
		g.Pool.Release(c)
		return nil, err
	}
	err = g.converse(ctx, p, x, g.primarySteps(u, p)...)
	if err == nil && x.refused() {
		slot.Refused()
	}
	slot.Answered()
	if err != nil || x.Final == wire.Idle || !g.Wire.SlotIsConnection {
		slot.Release()
		slot = nil
	}
	if err != nil {
		x.verification.Drop()
		g.Pool.Release(c)
		g.reportBroken(c, err)
		return nil, unknown(ctx, err)
	}
	return g.concludeAtPrimary(ctx, u, p, x, slot)
}

// proveReads sees to what reads at the primary need, those of a transaction that
// the unit opens included: a fresh one, a proof that the primary was not replaced
// when it began; an aged one, the position that the log must hold.
func (g *Group) proveReads(ctx context.Context, u *execution.Unit, p plan, x *exchange) error {
	if !g.Wire.ChecksPosition || !u.ReadOnly && !u.Begins {
		return nil
	}
	if p.fresh {
		v, err := g.Tracker.Verify()
		x.verification = v
		return err
	}
	n, err := g.needChecked(ctx, u, p)
	x.Required = n.mark
	return err
}

// primarySteps lists what is sent to the primary for a unit outside of a
// transaction.
func (g *Group) primarySteps(u *execution.Unit, p plan) []wire.Step {
	unit, report := wire.Step{Kind: wire.StepUnit}, wire.Step{Kind: wire.StepReport}
	storeKey := wire.Step{Kind: wire.StepStoreKey, Key: u.Key, Outcome: wire.KeyRan}
	switch {
	case p.keyed(u) && u.Begins:
		return []wire.Step{unit, storeKey}
	case p.keyed(u):
		return []wire.Step{{Kind: wire.StepBegin}, storeKey, unit, {Kind: wire.StepCommit}, report}
	case g.Wire.ChecksPosition && p.fresh && u.OnlyReads():
		// Only the report tells whether the member led; a replica reads as well.
		return []wire.Step{report, unit}
	case u.Begins, g.Wire.TellsLog:
		return []wire.Step{unit}
	default:
		return []wire.Step{unit, report}
	}
}
