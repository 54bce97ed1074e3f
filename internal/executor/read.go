package executor

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/retry"
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
	patience := g.Clock.Now().Add(logWait)
	for attempt := 1; ; attempt++ {
		m, ok := g.pickReplica(n, exclude)
		if !ok && g.mayWaitForLog(ctx, exclude, patience) {
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

// logWait bounds how long a read waits for a replica to apply what it has received:
// several times a usual lag, and short against what callers want.
const logWait = 150 * time.Millisecond

// mayWaitForLog waits for a moment, after which the members may be tried again that
// were, where there is no primary to turn to: replicas apply what they have received
// some milliseconds later, and a floor counts what they have received.
func (g *Group) mayWaitForLog(ctx context.Context, tried map[string]bool, until time.Time) bool {
	if !g.Wire.ChecksPosition || len(tried) == 0 || !g.Clock.Now().Before(until) {
		return false
	}
	if _, err := g.findWritable(); err == nil || !g.majorityAnswers() {
		return false
	}
	return g.pause(ctx) == nil
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
	m, ok := g.pickReplica(n, nil)
	if !ok {
		return nil, false, nil
	}
	reply, streamed, err := g.atReplica(ctx, u, p, m, n, partial)
	return reply, streamed || err == nil && !reply.Failed, err
}

func (g *Group) pickReplica(n need, exclude map[string]bool) (group.MemberView, bool) {
	now := g.Clock.Now()
	r := routing.Read{
		Required:       n.position,
		Checked:        g.Wire.ChecksPosition,
		FailureDomain:  g.FailureDomain,
		Exclude:        exclude,
		Load:           g.loadAt,
		SpillToPrimary: g.spill(),
		Behind:         func(address string) bool { return g.behind.at(address, now) },
	}
	if n.maxAge > 0 {
		r.NotBefore = now.Add(-n.maxAge)
	}
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return routing.Replica(g.Tracker.Snapshot(), r, g.Random)
}

// spillAfter is how many statements of this instance a replica must have more than
// the primary before an aged read goes to the primary. With one replica of two lost,
// all aged reads of a group met the other one, whose queue then held up the
// confirmations of writes as well, while the primary had room.
const spillAfter = 2

// spill is how many statements busier replicas must be for a read to go to the
// primary; zero where a read there needs more than a position.
func (g *Group) spill() int {
	if g.Wire.ChecksPosition {
		return spillAfter
	}
	return 0
}

// fullLoad is the load of a member that takes no connection: any other goes before it.
const fullLoad = 1000

// loadAt is how many statements of this instance run at a member or wait for it.
func (g *Group) loadAt(address string) int {
	load := g.running.at(address)
	if g.Pool.Full(address) {
		load += fullLoad
	}
	if q, ok := g.Gate.(memberQueues); ok {
		load += q.Waiting(address)
	}
	return load
}

// memberQueues is a gate that keeps a queue for each member.
type memberQueues interface{ Waiting(member string) int }

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
	c, err := g.Pool.Acquire(ctx, m.Address)
	if err != nil {
		g.reportRefused(m.Address, err)
		return nil, false, err
	}
	// The wait for a slot and a connection has aged what was needed before it.
	if n, err = g.renew(ctx, u, p, n); err != nil {
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

// refusedByMember returns the error of a read that another member may answer.
func (g *Group) refusedByMember(x *exchange) error {
	if x.Failure == nil {
		return nil
	}
	address := x.conn.Address()
	switch x.Failure.Kind {
	case wire.FailureBehind:
		g.behind.add(address, g.Clock.Now())
		return result.New(result.NoReplicaFresh, "member %s lacks %d.%d", address, x.Required.Term, x.Required.Position).WithRetryAfter(retryAfterBusy)
	case wire.FailureBusy:
		return result.New(result.MemberBusy, "member %s", address).WithRetryAfter(retryAfterBusy)
	case wire.FailureRan:
		return result.New(result.ReadFailed, "member %s: %s %s", address, x.Failure.Code, x.Failure.Message)
	default:
		return nil
	}
}

// giveBack returns a connection whose unit is not answered by what it brought,
// rolling back the transaction that the unit may have opened.
func (g *Group) giveBack(x *exchange) {
	if x.Final != wire.Idle {
		g.rollBack(x.conn)
	}
	g.Pool.Release(x.conn)
}

// mayRetryRead decides on one more attempt, and waits for its turn. Reads on
// replicas are idempotent: a replica refuses anything that writes.
func (g *Group) mayRetryRead(ctx context.Context, err error, attempt int) bool {
	e, ok := result.As(err)
	if !ok || ctx.Err() != nil || attempt >= maxReadAttempts {
		return false
	}
	reason, ok := retryReasons[e.Code]
	if !ok {
		return false
	}
	if e.Code == result.NoReplicaFresh {
		// The member answered at once and did no work, so that asking another
		// one adds no load worth a budget.
		return true
	}
	deadline, _ := ctx.Deadline()
	failed := retry.Attempt{Number: attempt, Reason: reason, Deadline: deadline}
	return g.Budget.Wait(ctx, failed) == nil
}

// retryReasons are the codes after which a read may go to another member.
var retryReasons = map[result.Code]retry.Reason{
	result.ConnectionLost:      retry.ConnectionLost,
	result.StatementTimeout:    retry.Silent,
	result.UpstreamUnreachable: retry.Unreachable,
	result.TooManyConnections:  retry.Full,
	result.NoReplicaFresh:      retry.NotFresh,
	result.MemberBusy:          retry.Busy,
	result.ReadFailed:          retry.Failed,
}
