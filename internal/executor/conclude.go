package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

// concludeAtPrimary turns the finished exchange into a reply: an open
// transaction, or a confirmed outcome. slot is what an open transaction keeps; it is
// nil where the slot was given back.
func (g *Group) concludeAtPrimary(ctx context.Context, u *execution.Unit, p plan, x *exchange, slot *admission.Slot) (*execution.Reply, error) {
	if x.KeyFailure != nil {
		return nil, g.keyRefused(ctx, u, x)
	}
	if err := g.refusedAtPrimary(p, x); err != nil {
		x.verification.Drop()
		g.giveBack(x)
		freeSlot(slot)
		return nil, err
	}
	if x.Final != wire.Idle {
		return g.beginAtPrimary(ctx, u, p, x, slot)
	}
	if x.verification != nil {
		return g.concludeFresh(ctx, u, p, x)
	}
	if err := g.ensureReport(x); err != nil {
		g.Pool.Release(x.conn)
		return nil, unknown(ctx, err)
	}
	g.Pool.Release(x.conn)
	if x.Failure != nil && x.Completed == 0 || u.ReadOnly || onlyPrepares(u) && u.Token.Term <= x.term {
		// Nothing took effect, so there is nothing to confirm.
		return g.reply(u.Token, x, false), nil
	}
	mark, err := g.confirm(ctx, p, x)
	if err != nil {
		return nil, err
	}
	return g.reply(g.token(mark), x, false), nil
}

// refusedAtPrimary returns the error of a unit that the member did not take, so
// that it may be sent again. Nothing of it ran.
func (g *Group) refusedAtPrimary(p plan, x *exchange) error {
	if x.Failure == nil || x.Completed > 0 {
		return nil
	}
	if x.Failure.Kind == wire.FailureReadOnly {
		g.Tracker.Recheck(x.conn.Address())
		return result.New(result.NoPrimary, "member %s no longer leads", x.conn.Address()).WithRetryAfter(retryAfterFailover)
	}
	if x.Failure.Kind == wire.FailureRan && !p.read {
		return nil
	}
	return g.refusedByMember(x)
}

// refusedByMember returns the error of a read that another member may answer.
func (g *Group) refusedByMember(x *exchange) error {
	address := x.conn.Address()
	if x.Failure == nil {
		g.failing.served(address)
		return nil
	}
	switch x.Failure.Kind {
	case wire.FailureBehind:
		g.behind.add(address, g.Clock.Now())
		return result.New(result.NoReplicaFresh, "member %s lacks %d.%d", address, x.Required.Term, x.Required.Position).WithRetryAfter(retryAfterBusy)
	case wire.FailureBusy:
		return result.New(result.MemberBusy, "member %s", address).WithRetryAfter(retryAfterBusy)
	case wire.FailureRan:
		g.failing.failed(address, g.Clock.Now())
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

// beginAtPrimary keeps the transaction that the unit opened. The answer to a
// fresh read in it waits for the proof.
func (g *Group) beginAtPrimary(ctx context.Context, u *execution.Unit, p plan, x *exchange, slot *admission.Slot) (*execution.Reply, error) {
	if x.verification != nil && u.ReadOnly {
		if err := g.verified(ctx, p, x); err != nil {
			g.giveBack(x)
			freeSlot(slot)
			return nil, err
		}
	}
	return g.openTransaction(u, x, false, p.keyOf(u), slot), nil
}

// openTransaction keeps the connection for the transaction that the unit opened, and
// with it the slot where one stands for a connection.
func (g *Group) openTransaction(u *execution.Unit, x *exchange, replica bool, key string, slot *admission.Slot) *execution.Reply {
	tx := &transaction{key: key, conn: x.conn, replica: replica, term: x.term, token: u.Token, lastUsed: g.Clock.Now(),
		wrote: !u.ReadOnly && !replica}
	if g.Wire.SlotIsConnection {
		tx.slot = slot
	}
	if !u.ReadOnly {
		tx.verification = x.verification
	}
	g.transactions.add(tx)
	return &execution.Reply{
		Messages:          x.Messages,
		Token:             u.Token,
		Transaction:       tx.id,
		TransactionStatus: byte(x.Final),
		Failed:            x.Failure != nil,
		Member:            x.conn.Address(),
		Replica:           replica,
	}
}

// concludeFresh answers a read that had to be fresh.
func (g *Group) concludeFresh(ctx context.Context, u *execution.Unit, p plan, x *exchange) (*execution.Reply, error) {
	g.Pool.Release(x.conn)
	if !u.ReadOnly {
		x.verification.Drop()
		return g.reply(u.Token, x, false), nil
	}
	if err := g.verified(ctx, p, x); err != nil {
		return nil, err
	}
	return g.reply(u.Token, x, false), nil
}

// showsLead reports whether the member led: by its report, or by taking a
// transaction that may write, which no replica does.
func showsLead(x *exchange) bool {
	if x.Unit.Begins && !x.Unit.ReadTransaction {
		return true
	}
	s := x.Report
	return s != nil && s.Role == member.RolePrimary && s.Entered == x.verification.Term
}

// verified waits for the proof that the member was the primary, and had not been
// replaced, when the read began: the member showed that it leads, and a replica
// that was asked since was not fenced. A promotion fences a majority first, so
// that one of the two would have shown it.
func (g *Group) verified(ctx context.Context, p plan, x *exchange) error {
	if !showsLead(x) {
		x.verification.Drop()
		g.Tracker.Recheck(x.conn.Address())
		return result.New(result.NoPrimary, "member %s no longer leads", x.conn.Address()).WithRetryAfter(retryAfterFailover)
	}
	bounded, cancel := context.WithDeadline(ctx, g.confirmDeadline(ctx, p))
	defer cancel()
	if err := x.verification.Wait(bounded); err != nil {
		return result.New(result.NoConfirmingReplica, "the read could not be proved fresh").WithCause(err).WithRetryAfter(retryAfterFailover)
	}
	return nil
}

// ensureReport asks for the member's report when it was not pipelined and the
// answer did not tell the member's log.
func (g *Group) ensureReport(x *exchange) error {
	if x.Report != nil || x.Log != (logpos.Mark{}) {
		return nil
	}
	return g.askReport(x)
}

// askReport asks for the member's report behind an exchange.
func (g *Group) askReport(x *exchange) error {
	ask := wire.Exchange{Unit: emptyUnit, Steps: []wire.Step{{Kind: wire.StepReport}}}
	err := x.conn.Run(&ask)
	x.Report = ask.Report
	return err
}

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

// reply returns the answer of a unit after which no transaction is open.
func (g *Group) reply(t logpos.Token, x *exchange, replica bool) *execution.Reply {
	return &execution.Reply{
		Messages:          x.Messages,
		Token:             t,
		TransactionStatus: byte(wire.Idle),
		Failed:            x.Failure != nil,
		Member:            x.conn.Address(),
		Replica:           replica,
	}
}
