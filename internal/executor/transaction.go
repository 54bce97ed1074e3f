package executor

import (
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/wire"
)

// transaction is an open transaction and the connection that it owns.
type transaction struct {
	id      string
	conn    wire.Conn
	replica bool
	// term is the one that the member led in when the transaction was begun.
	term logpos.Term
	// key is the request key whose row the transaction holds; empty if none.
	key string
	// wrote says that a unit of the transaction may have written.
	wrote bool
	// verification proves that the primary had not been replaced when the
	// transaction began; nil where no read of it needs that any more.
	verification *group.Verification
	// slot is held from the transaction's first unit to its end, where a slot stands
	// for a connection; nil otherwise.
	slot *admission.Slot
	// token is what the session must see at least after the transaction.
	token logpos.Token

	// mu is held while a unit runs in the transaction.
	mu       sync.Mutex
	lastUsed time.Time
	// ended says that the connection was given back; no unit may follow.
	ended bool
}
