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

// completeAtPrimary turns the finished exchange into a reply: an open transaction or a confirmed
// outcome. slot is passed on to an open transaction; it is nil if the slot was already released.
func (g *Group) completeAtPrimary(ctx context.Context, u *execution.Unit, p plan, x *exchange, slot *admission.Slot) (*execution.Reply, error) {
	if x.KeyFailure != nil {
		x.verification.Cancel()
		releaseSlot(slot)
		return nil, g.keyInsertFailed(ctx, u, x)
	}
	if err := g.primaryRefusal(p, x); err != nil {
		x.verification.Cancel()
		g.rollBackAndRelease(x, slot)
		return nil, err
	}
	if x.TxStatus != wire.Idle {
		return g.openTransactionAtPrimary(ctx, u, p, x, slot)
	}
	if x.verification != nil {
		return g.completeFreshRead(ctx, u, p, x)
	}
	if err := g.ensureReport(x); err != nil {
		g.Pool.Release(x.conn)
		return nil, unknownOutcomeError(ctx, err)
	}
	g.Pool.Release(x.conn)
	if x.Failure != nil && x.Completed == 0 || u.ReadOnly || onlyPrepares(u) && u.Token.Term <= x.term {
		// Nothing took effect, so there is nothing to confirm.
		return g.newReply(u.Token, x, false), nil
	}
	mark, err := g.confirm(ctx, p, x)
	if err != nil {
		return nil, err
	}
	return g.newReply(g.newToken(mark), x, false), nil
}

// primaryRefusal returns an error if the member refused the unit. None of the unit ran, so it may
// be sent again.
func (g *Group) primaryRefusal(p plan, x *exchange) error {
	if x.Failure == nil || x.Completed > 0 {
		return nil
	}
	if x.Failure.Kind == wire.FailureReadOnly {
		g.Tracker.Recheck(x.conn.Address())
		return result.New(result.NoPrimary, "member %s no longer leads", x.conn.Address()).WithRetryAfter(retryAfterFailover)
	}
	if x.Failure.Kind == wire.FailureAtMember && !p.read {
		return nil
	}
	return g.memberRefusal(x)
}

// memberRefusal returns an error if another member may be able to answer the read instead. It also
// records whether the member succeeded, failed or lags behind.
func (g *Group) memberRefusal(x *exchange) error {
	address := x.conn.Address()
	if x.Failure == nil {
		g.failingMembers.RecordSuccess(address)
		return nil
	}
	switch x.Failure.Kind {
	case wire.FailureLagging:
		g.laggingReplicas.Add(address, g.Clock.Now())
		return result.New(result.NoFreshReplica, "member %s lacks %d.%d", address, x.Required.Term, x.Required.Position).WithRetryAfter(retryAfterBusy)
	case wire.FailureBusy:
		return result.New(result.MemberBusy, "member %s", address).WithRetryAfter(retryAfterBusy)
	case wire.FailureAtMember:
		g.failingMembers.RecordFailure(address, g.Clock.Now())
		return result.New(result.ReadFailed, "member %s: %s %s", address, x.Failure.Code, x.Failure.Message)
	default:
		return nil
	}
}

// rollBackAndRelease returns a connection to the pool, and a slot that is not nil, when the answer
// is not used. It first rolls back the transaction that the unit may have opened. The unit does not
// wait for that: a member that stops answering would delay the answer past the unit's deadline.
func (g *Group) rollBackAndRelease(x *exchange, slot *admission.Slot) {
	if x.TxStatus == wire.Idle {
		g.Pool.Release(x.conn)
		releaseSlot(slot)
		return
	}
	g.pendingRollbacks.Go(func() {
		g.rollBack(x.conn)
		g.Pool.Release(x.conn)
		releaseSlot(slot)
	})
}

// openTransactionAtPrimary keeps the transaction that the unit opened. If the unit is a fresh
// read, its answer is held back until it is proved that the primary had not been replaced.
func (g *Group) openTransactionAtPrimary(ctx context.Context, u *execution.Unit, p plan, x *exchange, slot *admission.Slot) (*execution.Reply, error) {
	if x.verification != nil && u.ReadOnly {
		if err := g.awaitVerification(ctx, p, x); err != nil {
			g.rollBackAndRelease(x, slot)
			return nil, err
		}
	}
	return g.openTransaction(u, x, false, p.keyOf(u), slot), nil
}

// openTransaction keeps the connection for the transaction that the unit opened. It keeps the
// slot as well if a slot represents a connection.
func (g *Group) openTransaction(u *execution.Unit, x *exchange, replica bool, key string, slot *admission.Slot) *execution.Reply {
	tx := &transaction{key: key, conn: x.conn, replica: replica, term: x.term, token: u.Token, lastUsed: g.Clock.Now(),
		mayHaveWritten: !u.ReadOnly && !replica}
	if g.Wire.SlotPerConnection {
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
		TransactionStatus: byte(x.TxStatus),
		Failed:            x.Failure != nil,
		Member:            x.conn.Address(),
		Replica:           replica,
	}
}

// completeFreshRead replies to a unit that was sent with a verification and left no transaction
// open. Only the reply to a read waits for the proof.
func (g *Group) completeFreshRead(ctx context.Context, u *execution.Unit, p plan, x *exchange) (*execution.Reply, error) {
	g.Pool.Release(x.conn)
	if !u.ReadOnly {
		x.verification.Cancel()
		return g.newReply(u.Token, x, false), nil
	}
	if err := g.awaitVerification(ctx, p, x); err != nil {
		return nil, err
	}
	return g.newReply(u.Token, x, false), nil
}

// provesLeadership reports whether the exchange shows that the member was the primary: by its
// report, or because it accepted a transaction that may write, which no replica does.
func provesLeadership(x *exchange) bool {
	if x.Unit.BeginsTransaction && !x.Unit.ReadOnlyTransaction {
		return true
	}
	s := x.MemberStatus
	return s != nil && s.Role == member.RolePrimary && s.EnteredTerm == x.verification.Term
}

// awaitVerification waits for the proof that the member was the primary and had not been replaced
// when the read began: the member showed that it was the primary, and a replica that was asked
// since then was not fenced. A promotion fences a majority first, so one of the two would have
// shown it.
func (g *Group) awaitVerification(ctx context.Context, p plan, x *exchange) error {
	if !provesLeadership(x) {
		x.verification.Cancel()
		g.Tracker.Recheck(x.conn.Address())
		return result.New(result.NoPrimary, "member %s no longer leads", x.conn.Address()).WithRetryAfter(retryAfterFailover)
	}
	confirmCtx, cancel := context.WithDeadline(ctx, g.confirmDeadline(ctx, p))
	defer cancel()
	if err := x.verification.Wait(confirmCtx); err != nil {
		return result.New(result.NoConfirmingReplica, "the read could not be proved fresh").WithCause(err).WithRetryAfter(retryAfterFailover)
	}
	return nil
}

// ensureReport requests the member's report if it was not pipelined and the answer did not
// include the member's log position.
func (g *Group) ensureReport(x *exchange) error {
	if x.MemberStatus != nil || x.LogPosition != (logpos.TermPosition{}) {
		return nil
	}
	return g.requestReport(x)
}

// requestReport requests the member's report on the connection of a finished exchange.
func (g *Group) requestReport(x *exchange) error {
	request := wire.Exchange{Unit: emptyUnit, Steps: []wire.Step{{Kind: wire.StepMemberStatus}}}
	err := x.conn.Run(&request)
	x.MemberStatus = request.MemberStatus
	return err
}

// emptyUnit is used in exchanges that do not serve a caller's unit.
var emptyUnit = &execution.Unit{}

// confirm waits until the group confirms the log position that the primary reported after the
// unit. The check comes after the answer, so that an instance that was suspended between sending
// the unit and this point cannot pass on the answer of a replaced primary.
func (g *Group) confirm(ctx context.Context, p plan, x *exchange) (logpos.TermPosition, error) {
	ctx, cancel := g.confirmContext(ctx, p)
	defer cancel()
	if x.LogPosition != (logpos.TermPosition{}) {
		// The answer to the commit itself contains its log position.
		return x.LogPosition, g.Tracker.ConfirmCommit(ctx, x.LogPosition)
	}
	mark, err := reportedMark(x)
	if err != nil {
		return logpos.TermPosition{}, err
	}
	if err := g.Tracker.Confirm(ctx, mark); err != nil {
		return logpos.TermPosition{}, err
	}
	return mark, nil
}

// reportedMark returns the log position in the report that follows the unit.
//
// The report must be of the term in which the member was primary before anything was sent.
// Between the commit and the report, a member may be fenced, truncate the commit from its log and
// become primary again. Positions of that later term would confirm a write that is lost.
func reportedMark(x *exchange) (logpos.TermPosition, error) {
	s := x.MemberStatus
	if s == nil || s.Role != member.RolePrimary || s.EnteredTerm != x.term || s.LastRecord.Term != x.term {
		return logpos.TermPosition{}, result.New(result.PrimaryReplaced, "the member no longer leads")
	}
	return logpos.TermPosition{Term: s.EnteredTerm, Position: s.LastRecord.Position}, nil
}

func (g *Group) newToken(m logpos.TermPosition) logpos.Token {
	return logpos.Token{Group: g.Group, TermPosition: m}
}

// newReply returns the reply to a unit after which no transaction is open.
func (g *Group) newReply(t logpos.Token, x *exchange, replica bool) *execution.Reply {
	return &execution.Reply{
		Messages:          x.Messages,
		Token:             t,
		TransactionStatus: byte(wire.Idle),
		Failed:            x.Failure != nil,
		Member:            x.conn.Address(),
		Replica:           replica,
	}
}
