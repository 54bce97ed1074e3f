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
	// term is the term in which the member was primary when the transaction began.
	term logpos.Term
	// key is the request key whose row the transaction inserted; empty if none.
	key string
	// mayHaveWritten is set if any unit of the transaction may have written.
	mayHaveWritten bool
	// verification proves that the primary had not been replaced when the transaction began;
	// nil once no read of the transaction needs the proof.
	verification *group.Verification
	// slot is held until the transaction ends if a slot represents a connection; nil otherwise.
	slot *admission.Slot
	// token is the minimum log position that the session must see after the transaction.
	token logpos.Token

	// mu is held while a unit runs in the transaction.
	mu       sync.Mutex
	lastUsed time.Time
	// ended means that the connection was released; no further unit may run.
	ended bool
}
