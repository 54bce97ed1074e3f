package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

// concludeIn replies to a unit in a transaction and ends the transaction when
// the unit did.
func (g *Group) concludeIn(ctx context.Context, u *execution.Unit, p plan, x *exchange, tx *transaction) (*execution.Reply, error) {
	if x.KeyFailure != nil {
		return nil, g.keyRefusedIn(ctx, u, x, tx)
	}
	if x.Final != wire.Idle {
		return g.goOn(ctx, u, p, x, tx)
	}
	if tx.replica {
		g.end(tx, false)
		return g.reply(tx.token, x, true), nil
	}
	err := g.ensureReport(x)
	g.end(tx, false)
	if err != nil {
		return nil, g.settleCommit(ctx, u, tx, unknown(ctx, err))
	}
	if x.Completed == 0 || u.ReadOnly {
		return g.reply(tx.token, x, false), nil
	}
	mark, err := g.confirm(ctx, p, x)
	if err != nil {
		return nil, g.settleCommit(ctx, u, tx, err)
	}
	return g.reply(g.token(mark), x, false), nil
}

// goOn replies to a unit after which its transaction is still open.
func (g *Group) goOn(ctx context.Context, u *execution.Unit, p plan, x *exchange, tx *transaction) (*execution.Reply, error) {
	if x.Failure != nil && x.Failure.Kind == wire.FailureReadOnly && g.Wire.TellsEnd {
		// The member has lost the lead; nothing of the transaction is kept.
		g.Tracker.Recheck(tx.conn.Address())
		g.end(tx, true)
		return nil, result.New(result.TransactionLost, "member %s no longer leads", tx.conn.Address())
	}
	if err := g.proveInTransaction(ctx, u, p, tx); err != nil {
		g.end(tx, true)
		return nil, err
	}
	tx.wrote = tx.wrote || !u.ReadOnly
	return &execution.Reply{
		Messages:          x.Messages,
		Token:             tx.token,
		Transaction:       tx.id,
		TransactionStatus: byte(x.Final),
		Failed:            x.Failure != nil,
		Member:            tx.conn.Address(),
		Replica:           tx.replica,
	}, nil
}

// proveInTransaction holds back the answer to the first fresh read of a
// transaction that writes until it is proved that the primary had not been
// replaced when the transaction began. That the member led is shown by its taking
// the transaction at all.
func (g *Group) proveInTransaction(ctx context.Context, u *execution.Unit, p plan, tx *transaction) error {
	if tx.verification == nil || !u.ReadOnly {
		return nil
	}
	bounded, cancel := context.WithDeadline(ctx, g.confirmDeadline(ctx, p))
	defer cancel()
	err := tx.verification.Wait(bounded)
	tx.verification = nil
	if err != nil {
		return result.New(result.TransactionLost, "its reads could not be proved fresh").WithCause(err)
	}
	return nil
}

// settleCommit settles the unknown outcome of a unit that ended a transaction by
// the key whose row the transaction held.
func (g *Group) settleCommit(ctx context.Context, u *execution.Unit, tx *transaction, err error) error {
	if tx.key == "" || !u.Ends {
		return err
	}
	return g.settle(ctx, requestKey{tx.key, u.Owner}, err)
}
