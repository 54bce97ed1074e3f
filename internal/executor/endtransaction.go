package executor

import "github.com/topazrock/topazrock/internal/wire"

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
