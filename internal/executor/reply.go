package executor

import (
	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/wire"
)

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
