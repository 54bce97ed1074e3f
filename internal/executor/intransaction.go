package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
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
	release, err := g.enter(ctx, p, true)
	if err != nil {
		g.end(tx, true)
		return nil, err
	}
	if p.keyed(u) {
		tx.key = u.Key
	}
	x := newExchange(tx.conn, u, p.limits.AnswerBuffer, partial)
	x.term = tx.term
	x.keyed = tx.key != ""
	err = g.converse(ctx, u, p, x, transactionParts(u, p, tx))
	release()
	if err != nil {
		g.end(tx, true)
		g.reportBroken(tx.conn, err)
		return nil, g.settleCommit(ctx, u, tx, unknown(ctx, err))
	}
	tx.lastUsed = g.Clock.Now()
	return g.concludeIn(ctx, u, p, x, tx)
}

// transactionParts lists what is sent for a unit inside of a transaction.
func transactionParts(u *execution.Unit, p plan, tx *transaction) []part {
	var parts []part
	if p.keyed(u) {
		parts = append(parts, keyPart(u))
	}
	parts = append(parts, unitPart(u))
	if u.Ends && !tx.replica {
		parts = append(parts, statusPart())
	}
	return parts
}

// concludeIn replies to a unit in a transaction and ends the transaction when
// the unit did.
func (g *Group) concludeIn(ctx context.Context, u *execution.Unit, p plan, x *exchange, tx *transaction) (*execution.Reply, error) {
	if x.keyFailure != nil {
		return nil, g.keyRefusedIn(ctx, u, x, tx)
	}
	if x.final != statusIdle {
		return &execution.Reply{
			Messages:          x.answer.messages,
			Token:             tx.token,
			Transaction:       tx.id,
			TransactionStatus: x.final,
			Failed:            x.answer.failure != nil,
			Member:            tx.conn.Address(),
			Replica:           tx.replica,
		}, nil
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
	if x.answer.completed == 0 {
		return g.reply(tx.token, x, false), nil
	}
	mark, err := g.confirm(ctx, p, x)
	if err != nil {
		return nil, g.settleCommit(ctx, u, tx, err)
	}
	return g.reply(g.token(mark), x, false), nil
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
	if spoil {
		tx.conn.Spoil()
	}
	g.Pool.Release(tx.conn)
}

// Abandon implements execution.Executor.
func (g *Group) Abandon(_, id string) {
	tx := g.transactions.find(id)
	if tx == nil {
		return
	}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	g.end(tx, true)
}
