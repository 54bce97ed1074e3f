package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/routing"
	"github.com/topazrock/topazrock/internal/wire"
)

// read runs a declared read at a replica that can prove enough, or at the primary.
func (g *Group) read(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, error) {
	if onlyPrepares(u) {
		if reply, done, err := g.prepareAtReplica(ctx, u, p, partial); done {
			return reply, err
		}
	}
	n, err := g.need(ctx, u, p)
	if err != nil {
		return nil, err
	}
	exclude := make(map[string]bool)
	waitUntil := g.Clock.Now().Add(logWait)
	for attempt := 1; ; attempt++ {
		m, ok := g.pickReplica(u.Owner, n, exclude)
		if !ok && g.mayWaitForLog(ctx, exclude, waitUntil) {
			clear(exclude)
			attempt = 0
			continue
		}
		if !ok {
			return g.atPrimary(ctx, u, p, partial)
		}
		o := g.attempt(ctx, u, p, m, n, exclude, partial)
		if o.err == nil || o.streamed || !g.mayRetryRead(ctx, o.err, attempt) {
			return o.reply, o.err
		}
		g.Logger.Info("Read is tried at another member.", "request", u.Request, "unit", u.ID, "group", g.Group, "member", o.member, "attempt", attempt, "error", o.err)
		exclude[o.member] = true
	}
}

// attempt runs a read at a replica, with a hedge where it may have one.
func (g *Group) attempt(ctx context.Context, u *execution.Unit, p plan, m group.MemberView, n need, exclude map[string]bool, partial func([]byte) error) outcome {
	if g.hedgeable(u, p) {
		return g.hedged(ctx, u, p, m, n, exclude, partial)
	}
	reply, streamed, err := g.atReplica(ctx, u, p, m, n, partial)
	return outcome{m.Address, reply, streamed, err}
}

// onlyPrepares reports that a unit shows no rows and changes none. What its
// statements name must still be there, so a session that may have made it
// elsewhere a moment ago is not meant.
func onlyPrepares(u *execution.Unit) bool {
	return !u.Runs() && !(u.Roaming && u.Token.IsZero())
}

// prepareAtReplica runs a unit that only prepares or describes statements at a
// replica that has the session's own work. It shows no rows, so a barrier would
// only let each new statement wait twice for the lag: here and when it runs. The
// second value is false when the usual way must decide, as it must when the
// member answers with an error: what the statement names may be newer than it.
func (g *Group) prepareAtReplica(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, bool, error) {
	position, known := routing.RequiredPosition(g.Tracker.Snapshot(), u.Token)
	if !known {
		return nil, false, nil
	}
	n := need{position: position, token: u.Token}
	m, ok := g.pickReplica(u.Owner, n, nil)
	if !ok {
		return nil, false, nil
	}
	reply, streamed, err := g.atReplica(ctx, u, p, m, n, partial)
	return reply, streamed || err == nil && !reply.Failed, err
}

// atReplica runs the read at one replica. The second value says that a piece of
// the answer has gone out, after which the read cannot be sent elsewhere.
func (g *Group) atReplica(ctx context.Context, u *execution.Unit, p plan, m group.MemberView, n need, partial func([]byte) error) (*execution.Reply, bool, error) {
	slot, err := g.enter(ctx, p, m.Address)
	if err != nil {
		return nil, false, err
	}
	held := false
	defer func() {
		if !held {
			slot.Release()
		}
	}()
	c, err := g.Pool.Acquire(ctx, m.Address, u.Owner)
	if err != nil {
		slot.Refused()
		g.reportRefused(m.Address, err)
		return nil, false, err
	}
	// The wait for a slot and a connection has aged what was needed before it.
	if n, err = g.renew(ctx, u, p, n); err != nil {
		slot.Refused()
		g.Pool.Release(c)
		return nil, false, err
	}
	x := newExchange(c, u, p, partial)
	x.Required = n.mark
	if err := g.converse(ctx, p, x, wire.Step{Kind: wire.StepUnit}); err != nil {
		g.Pool.Release(c)
		g.reportBroken(c, err)
		return nil, x.Streamed, unknown(ctx, err)
	}
	if x.refused() {
		slot.Refused()
	}
	if err := g.refusedByMember(x); err != nil {
		g.giveBack(x)
		return nil, false, err
	}
	if x.Final != wire.Idle {
		u.Token = n.token
		held = g.Wire.SlotIsConnection
		slot.Answered()
		return g.openTransaction(u, x, true, "", slot), false, nil
	}
	g.Pool.Release(c)
	return g.reply(n.token, x, m.Address != g.Tracker.Snapshot().Primary), false, nil
}
