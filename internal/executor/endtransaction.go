package executor

import "github.com/topazrock/topazrock/internal/wire"

// endTransaction returns the transaction's connection to the pool. With discardConn the
// connection is closed, which makes the member roll the transaction back. tx.mu must be held.
func (g *Group) endTransaction(tx *transaction, discardConn bool) {
	if !g.detachTransaction(tx) {
		return
	}
	if discardConn {
		tx.conn.MarkUnusable()
	}
	g.releaseTransaction(tx)
}

// detachTransaction makes further units of a transaction fail. It returns false if the transaction
// has ended before. tx.mu must be held.
func (g *Group) detachTransaction(tx *transaction) bool {
	if tx.ended {
		return false
	}
	tx.ended = true
	g.transactions.remove(tx.id)
	tx.verification.Cancel()
	return true
}

// releaseTransaction returns the connection and the slot of a detached transaction.
func (g *Group) releaseTransaction(tx *transaction) {
	g.Pool.Release(tx.conn)
	if tx.slot != nil {
		tx.slot.Release()
	}
}

// AbandonTransaction implements execution.Executor. The connection is kept, because opening a new one costs
// the member more than the rollback. The rollback does not hold tx.mu: a unit that arrives
// meanwhile is refused at once, however long the member takes.
func (g *Group) AbandonTransaction(_, id string) {
	tx := g.transactions.find(id)
	if tx == nil {
		return
	}
	g.pendingRollbacks.Go(func() {
		tx.mu.Lock()
		detached := g.detachTransaction(tx)
		tx.mu.Unlock()
		if !detached {
			return
		}
		g.rollBack(tx.conn)
		g.releaseTransaction(tx)
	})
}

// DiscardTransactions closes the connections of all open transactions, which makes the members
// roll back. It is for a group whose connections are closed anyway: a rollback at a member that
// hangs would delay that by rollbackTimeout. The callers are told at their next unit.
func (g *Group) DiscardTransactions() {
	for _, tx := range g.transactions.all() {
		g.pendingRollbacks.Go(func() {
			tx.mu.Lock()
			defer tx.mu.Unlock()
			g.endTransaction(tx, true)
		})
	}
}

// rollBack rolls back the transaction that is open on a connection. If that fails, the connection
// is closed, which makes the member roll back.
func (g *Group) rollBack(c wire.Conn) {
	if !c.Reusable() || c.SetDeadline(g.Clock.Now().Add(rollbackTimeout)) != nil {
		c.MarkUnusable()
		return
	}
	x := wire.Exchange{Unit: emptyUnit, Steps: []wire.Step{{Kind: wire.StepRollback}}}
	if err := c.Run(&x); err != nil || x.TxStatus != wire.Idle {
		g.Logger.Debug("Rollback failed; closing the connection.", "group", g.Group, "member", c.Address(), "error", err)
		c.MarkUnusable()
	}
}
