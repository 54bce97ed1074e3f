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
	release, err := g.acquireTransactionSlot(ctx, p, tx)
	if callerLeft(err) {
		// The session rolls the transaction back, and its connection is kept.
		return nil, err
	}
	if err != nil {
		g.endTransaction(tx, true)
		return nil, err
	}
	if p.keyed(u) {
		tx.key = u.Key
	}
	x := newExchange(tx.conn, u, p, partial)
	x.term = tx.term
	x.keyed = tx.key != ""
	err = g.runExchange(ctx, p, x, g.transactionSteps(u, p, tx)...)
	release()
	if callerLeft(err) {
		return nil, err
	}
	if err != nil {
		g.endTransaction(tx, true)
		g.reportBrokenConn(x, err)
		return nil, g.resolveCommitOutcome(ctx, u, tx, g.transactionConnError(ctx, u, tx, err))
	}
	tx.lastUsed = g.Clock.Now()
	return g.completeInTransaction(ctx, u, p, x, tx)
}

// transactionSteps returns the steps to send for a unit in a transaction.
func (g *Group) transactionSteps(u *execution.Unit, p plan, tx *transaction) []wire.Step {
	var steps []wire.Step
	if p.keyed(u) {
		steps = append(steps, wire.Step{Kind: wire.StepStoreKey, Key: u.Key, Outcome: wire.KeyRan})
	}
	steps = append(steps, wire.Step{Kind: wire.StepUnit})
	if u.EndsTransaction && !tx.replica && !g.Wire.ReportsLogPosition {
		steps = append(steps, wire.Step{Kind: wire.StepMemberStatus})
	}
	return steps
}

// transactionConnError returns the error of a unit whose connection broke. If the protocol states
// which units commit and this one was not to commit a write, the transaction is known to be lost:
// the member rolls it back when the connection closes. Otherwise the outcome is unknown.
func (g *Group) transactionConnError(ctx context.Context, u *execution.Unit, tx *transaction, err error) error {
	if g.Wire.ReportsCommit && (!u.EndsTransaction || !tx.mayHaveWritten) {
		return result.New(result.TransactionLost, "its connection broke before the commit").WithCause(err)
	}
	return unknownOutcomeError(ctx, err)
}
