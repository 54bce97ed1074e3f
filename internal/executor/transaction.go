package executor

import (
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/upstream"
)

// transaction is an open transaction and the connection that it owns.
type transaction struct {
	id      string
	conn    *upstream.Conn
	replica bool
	// term is the one that the member led in when the transaction was begun.
	term logpos.Term
	// key is the request key whose row the transaction holds; empty if none.
	key string
	// token is what the session must see at least after the transaction.
	token logpos.Token

	// mu is held while a unit runs in the transaction.
	mu       sync.Mutex
	lastUsed time.Time
	// ended says that the connection was given back; no unit may follow.
	ended bool
}
