package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

// completeInTransaction replies to a unit in a transaction. If the unit ended the transaction, it
// releases the transaction's connection.
func (g *Group) completeInTransaction(ctx context.Context, u *execution.Unit, p plan, x *exchange, tx *transaction) (*execution.Reply, error) {
	if x.KeyFailure != nil {
		return nil, g.keyInsertFailedInTransaction(ctx, u, x, tx)
	}
	if x.TxStatus != wire.Idle {
		return g.replyInTransaction(ctx, u, p, x, tx)
	}
	if tx.replica {
		g.endTransaction(tx, false)
		return g.newReply(tx.token, x, true), nil
	}
	err := g.ensureReport(x)
	g.endTransaction(tx, false)
	if err != nil {
		return nil, g.resolveCommitOutcome(ctx, u, tx, unknownOutcomeError(ctx, err))
	}
	if x.Completed == 0 || u.ReadOnly {
		return g.newReply(tx.token, x, false), nil
	}
	mark, err := g.confirm(ctx, p, x)
	if err != nil {
		return nil, g.resolveCommitOutcome(ctx, u, tx, err)
	}
	return g.newReply(g.newToken(mark), x, false), nil
}

// replyInTransaction replies to a unit after which its transaction is still open.
func (g *Group) replyInTransaction(ctx context.Context, u *execution.Unit, p plan, x *exchange, tx *transaction) (*execution.Reply, error) {
	if x.Failure != nil && x.Failure.Kind == wire.FailureReadOnly && g.Wire.ReportsCommit {
		// The member is no longer the primary and has discarded the transaction.
		g.Tracker.Recheck(tx.conn.Address())
		g.endTransaction(tx, true)
		return nil, result.New(result.TransactionLost, "member %s no longer leads", tx.conn.Address())
	}
	if err := g.verifyInTransaction(ctx, u, p, tx); err != nil {
		g.endTransaction(tx, true)
		return nil, err
	}
	tx.mayHaveWritten = tx.mayHaveWritten || !u.ReadOnly
	return &execution.Reply{
		Messages:          x.Messages,
		Token:             tx.token,
		Transaction:       tx.id,
		TransactionStatus: byte(x.TxStatus),
		Failed:            x.Failure != nil,
		Member:            tx.conn.Address(),
		Replica:           tx.replica,
	}, nil
}

// verifyInTransaction holds back the answer to the first fresh read in a transaction that writes
// until it is proved that the primary had not been replaced when the transaction began. The member
// showed that it was the primary by accepting the transaction.
func (g *Group) verifyInTransaction(ctx context.Context, u *execution.Unit, p plan, tx *transaction) error {
	if tx.verification == nil || !u.ReadOnly {
		return nil
	}
	confirmCtx, cancel := context.WithDeadline(ctx, g.confirmDeadline(ctx, p))
	defer cancel()
	err := tx.verification.Wait(confirmCtx)
	tx.verification = nil
	if err != nil {
		return result.New(result.TransactionLost, "its reads could not be proved fresh").WithCause(err)
	}
	return nil
}

// resolveCommitOutcome resolves the unknown outcome of a unit that ended a transaction, using the
// request key whose row the transaction wrote.
func (g *Group) resolveCommitOutcome(ctx context.Context, u *execution.Unit, tx *transaction, err error) error {
	if tx.key == "" || !u.EndsTransaction {
		return err
	}
	return g.resolveOutcome(ctx, requestKey{tx.key, u.ConnectionOwner}, err)
}
