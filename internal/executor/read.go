package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/routing"
	"github.com/topazrock/topazrock/internal/wire"
)

// executeRead runs a unit of a read class at a replica that is proved recent enough, or at the
// primary.
func (g *Group) executeRead(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, error) {
	if onlyPrepares(u) {
		if reply, done, err := g.prepareAtReplica(ctx, u, p, partial); done {
			return reply, err
		}
	}
	req, err := g.requirementFor(ctx, u, p)
	if err != nil {
		return nil, err
	}
	req.repeatable = g.repeatable(u)
	exclude := make(map[string]bool)
	waitUntil := g.Clock.Now().Add(replicaApplyWait)
	for attempt := 1; ; attempt++ {
		m, ok := g.pickReadMember(u.ConnectionOwner, req, exclude)
		if !ok && g.waitForReplicaApply(ctx, exclude, waitUntil) {
			clear(exclude)
			attempt = 0
			continue
		}
		if !ok {
			return g.runAtPrimary(ctx, u, p, partial)
		}
		outcome := g.attemptRead(ctx, u, p, m, req, exclude, partial)
		if outcome.err == nil || outcome.streamed || !g.mayRetryRead(ctx, outcome.err, attempt) {
			return outcome.reply, outcome.err
		}
		g.Logger.Info("Retrying read at another member.", "request", u.RequestName, "unit", u.ID, "group", g.Group, "member", outcome.member, "attempt", attempt, "error", outcome.err)
		exclude[outcome.member] = true
	}
}

// attemptRead runs a read at a replica, with a hedge if the read allows one.
func (g *Group) attemptRead(ctx context.Context, u *execution.Unit, p plan, m group.MemberView, req readRequirement, exclude map[string]bool, partial func([]byte) error) readAttempt {
	if g.canHedge(u, p) {
		return g.readWithHedge(ctx, u, p, m, req, exclude, partial)
	}
	reply, streamed, err := g.runReadAtMember(ctx, u, p, m, req, partial)
	return readAttempt{m.Address, reply, streamed, err}
}

// onlyPrepares reports whether a unit returns no rows and changes none. It returns false for a
// session that came without a token and has not run anything here yet: the session may just have
// created, through another instance, the objects that its statements name, and replicas may not
// have them yet.
func onlyPrepares(u *execution.Unit) bool {
	return !u.Executes() && !positionUnknown(u)
}

// prepareAtReplica runs a unit that only prepares or describes statements at a replica that
// contains the session's own writes. Such a unit returns no rows, so a barrier would only make each
// new statement wait for the replication lag twice: here and when it runs. The second result is
// false if the unit must be run as a normal read, for example because the member answered with an
// error: the objects that the statement names may be newer than the replica.
func (g *Group) prepareAtReplica(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, bool, error) {
	position, known := routing.RequiredPosition(g.Tracker.Snapshot(), u.Token)
	if !known {
		return nil, false, nil
	}
	req := readRequirement{position: position, token: u.Token}
	m, ok := g.pickReadMember(u.ConnectionOwner, req, nil)
	if !ok {
		return nil, false, nil
	}
	reply, streamed, err := g.runReadAtMember(ctx, u, p, m, req, partial)
	return reply, streamed || err == nil && !reply.Failed, err
}

// runReadAtMember runs the read at one member, usually a replica. The second result reports whether
// part of the answer was already passed on, after which the read cannot be sent to another member.
func (g *Group) runReadAtMember(ctx context.Context, u *execution.Unit, p plan, m group.MemberView, req readRequirement, partial func([]byte) error) (*execution.Reply, bool, error) {
	slot, err := g.acquireSlot(ctx, p, m.Address)
	if err != nil {
		return nil, false, err
	}
	keepSlot := false
	defer func() {
		if !keepSlot {
			slot.Release()
		}
	}()
	c, err := g.Pool.Acquire(ctx, m.Address, u.ConnectionOwner)
	if err != nil {
		slot.MarkNotExecuted()
		g.reportUnreachable(m.Address, err)
		return nil, false, err
	}
	// The requirement may be outdated after the wait for a slot and a connection.
	if req, err = g.refreshRequirement(ctx, u, p, req); err != nil {
		slot.MarkNotExecuted()
		g.Pool.Release(c)
		return nil, false, err
	}
	x := newExchange(c, u, p, partial)
	x.Required = req.mark
	if err := g.runExchange(ctx, p, x, wire.Step{Kind: wire.StepUnit}); err != nil {
		if callerLeft(err) {
			slot.MarkNotExecuted()
		}
		g.markUnanswered(slot, err)
		g.Pool.Release(c)
		g.reportBrokenConn(x, err)
		return nil, x.Streamed, unknownOutcomeError(ctx, err)
	}
	if x.refused() {
		slot.MarkNotExecuted()
	}
	if err := g.memberRefusal(x); err != nil {
		keepSlot = true
		g.rollBackAndRelease(x, slot)
		return nil, false, err
	}
	if x.TxStatus != wire.Idle {
		u.Token = req.token
		keepSlot = g.Wire.SlotPerConnection
		slot.MarkAnswered()
		return g.openTransaction(u, x, true, "", slot), false, nil
	}
	g.Pool.Release(c)
	return g.newReply(req.token, x, m.Address != g.Tracker.Snapshot().Primary), false, nil
}
