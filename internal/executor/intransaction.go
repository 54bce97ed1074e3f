package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

// continueTransaction runs a unit on the connection of its transaction.
func (g *Group) continueTransaction(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, error) {
	tx := g.transactions.find(u.Transaction)
	if tx == nil {
		return nil, result.New(result.TransactionLost, "its connection is gone")
	}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if tx.ended {
		return nil, result.New(result.TransactionLost, "it was ended before")
	}
	release, err := g.enterTransaction(ctx, p, tx)
	if err != nil {
		g.end(tx, true)
		return nil, err
	}
	if p.keyed(u) {
		tx.key = u.Key
	}
	x := newExchange(tx.conn, u, p, partial)
	x.term = tx.term
	x.keyed = tx.key != ""
	err = g.converse(ctx, p, x, g.transactionSteps(u, p, tx)...)
	release()
	if err != nil {
		g.end(tx, true)
		g.reportBroken(tx.conn, err)
		return nil, g.settleCommit(ctx, u, tx, g.lostInTransaction(ctx, u, tx, err))
	}
	tx.lastUsed = g.Clock.Now()
	return g.concludeIn(ctx, u, p, x, tx)
}

// lostInTransaction is the error of a unit whose connection broke. Unless it was
// to commit, the member rolls the transaction back with the connection.
func (g *Group) lostInTransaction(ctx context.Context, u *execution.Unit, tx *transaction, err error) error {
	if g.Wire.TellsEnd && (!u.Ends || !tx.wrote) {
		return result.New(result.TransactionLost, "its connection broke before the commit").WithCause(err)
	}
	return unknown(ctx, err)
}

// transactionSteps lists what is sent for a unit inside of a transaction.
func (g *Group) transactionSteps(u *execution.Unit, p plan, tx *transaction) []wire.Step {
	var steps []wire.Step
	if p.keyed(u) {
		steps = append(steps, wire.Step{Kind: wire.StepStoreKey, Key: u.Key, Outcome: wire.KeyRan})
	}
	steps = append(steps, wire.Step{Kind: wire.StepUnit})
	if u.Ends && !tx.replica && !g.Wire.TellsLog {
		steps = append(steps, wire.Step{Kind: wire.StepReport})
	}
	return steps
}

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
	return g.settle(ctx, tx.key, err)
}

// end gives the transaction's connection back. With spoil the connection is
// closed, which makes the member roll the transaction back.
func (g *Group) end(tx *transaction, spoil bool) {
	if tx.ended {
		return
	}
	tx.ended = true
	g.transactions.remove(tx.id)
	tx.verification.Drop()
	if spoil {
		tx.conn.Spoil()
	}
	g.Pool.Release(tx.conn)
	if tx.slot != nil {
		tx.slot.Release()
	}
}

// Abandon implements execution.Executor. The connection is kept: a new one costs
// the member more than the rollback.
func (g *Group) Abandon(_, id string) {
	tx := g.transactions.find(id)
	if tx == nil {
		return
	}
	g.abandoning.Go(func() {
		tx.mu.Lock()
		defer tx.mu.Unlock()
		if tx.ended {
			return
		}
		g.rollBack(tx.conn)
		g.end(tx, false)
	})
}

// rollBack ends the transaction that is open on a connection. Where that fails,
// the connection is closed, and the member rolls back by itself.
func (g *Group) rollBack(c wire.Conn) {
	if !c.Clean() || c.SetDeadline(g.Clock.Now().Add(rollBackTimeout)) != nil {
		c.Spoil()
		return
	}
	x := wire.Exchange{Unit: emptyUnit, Steps: []wire.Step{{Kind: wire.StepRollback}}}
	if err := c.Run(&x); err != nil || x.Final != wire.Idle {
		g.Logger.Debug("Transaction was not rolled back; its connection is closed.", "group", g.Group, "member", c.Address(), "error", err)
		c.Spoil()
	}
}
