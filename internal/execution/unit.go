// Package execution runs one unit of a caller's work at a group: admission,
// choice of a member, sending, confirmation, and the whole answer.
//
// A unit is what a caller sends between two ReadyForQuery messages: one Query,
// or extended-protocol messages up to Sync. The caller's session builds it on
// the entry instance; a home instance of the group runs it. The two may be one
// process or be joined by a peer connection, and the same types serve both.
package execution

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// Statement is a prepared statement of the caller's session.
type Statement struct {
	SQL           string   `json:"sql"`
	ParameterOIDs []uint32 `json:"parameter_oids,omitempty"`
}

// Unit is one piece of work.
type Unit struct {
	Group string `json:"group"`
	// Class and Key come from the request's tag; empty when untagged.
	Class string `json:"class,omitempty"`
	Key   string `json:"key,omitempty"`
	// Token is what the session must see at least.
	Token logpos.Token `json:"token"`
	// Roaming says that the session came without a token and has not run
	// anything here yet, so that even an aged read takes a barrier.
	Roaming bool `json:"roaming,omitempty"`
	// Timeout is the time left to the caller's deadline when the unit was sent.
	Timeout time.Duration `json:"timeout"`
	// Messages are encoded frontend messages, the last of them Query or Sync.
	Messages []byte `json:"messages"`
	// Statements holds the session's prepared statements that Messages name
	// and do not define.
	Statements map[string]Statement `json:"statements,omitempty"`
	// Transaction names the open transaction; empty outside of one.
	Transaction string `json:"transaction,omitempty"`
}

// Reply is the answer to one unit.
type Reply struct {
	// Messages are encoded backend messages, ended by ReadyForQuery.
	Messages []byte `json:"messages"`
	// Token is the session's token from now on.
	Token logpos.Token `json:"token"`
	// Transaction names the transaction that is open after the unit.
	Transaction string `json:"transaction,omitempty"`
	// TransactionStatus is the status byte of the final ReadyForQuery: I, T or E.
	TransactionStatus byte `json:"transaction_status"`
	// Member is the address of the member that answered.
	Member string `json:"member,omitempty"`
	// Replica says that a replica answered.
	Replica bool `json:"replica,omitempty"`
}

// Executor runs units.
type Executor interface {
	// Execute runs one unit. Large answers go to partial piece by piece before
	// the Reply, each piece a number of whole messages; an error after the first
	// piece means that the caller has seen a partial answer and must be cut off
	// with an error. Errors are *result.Error.
	Execute(ctx context.Context, u *Unit, partial func([]byte) error) (*Reply, error)
	// Abandon rolls back and releases an open transaction whose caller is gone.
	Abandon(group, transaction string)
}
