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
	"strings"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// Step is one extended-protocol message in a Unit's Shape, by the answer it gets.
type Step = byte

// Steps. The synthetic ones were left out of Messages, and their answer is
// added where it belongs in the order of answers.
const (
	StepParse          Step = 'P'
	StepBind           Step = 'B'
	StepDescribe       Step = 'D'
	StepExecute        Step = 'E'
	StepClose          Step = 'C'
	StepSync           Step = 'S'
	StepSyntheticParse Step = 'p'
	StepSyntheticClose Step = 'c'
)

// Statement is a prepared statement of the caller's session.
type Statement struct {
	SQL           string   `json:"sql"`
	ParameterOIDs []uint32 `json:"parameter_oids,omitempty"`
}

// Unit is one piece of work.
type Unit struct {
	// ID names the unit on its entry instance, for cancel and partial answers.
	ID string `json:"id"`
	// ReplyTo is the peer address of the entry instance; empty when it is this one.
	ReplyTo string `json:"reply_to,omitempty"`
	Group   string `json:"group"`
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
	// Named statements go by names made of their content, and their Parse and
	// Close messages are left out: they are shared between sessions.
	Messages []byte `json:"messages"`
	// Shape lists the extended-protocol messages in order, one Step each; empty
	// for a Query.
	Shape string `json:"shape,omitempty"`
	// Statements holds the named statements that Messages refer to.
	Statements map[string]Statement `json:"statements,omitempty"`
	// Unnamed is the session's unnamed statement where Messages refer to it
	// without defining it.
	Unnamed *Statement `json:"unnamed,omitempty"`
	// Ends hints that the unit ends a transaction, Begins that it opens one. A
	// wrong hint costs a round trip, never a promise.
	Ends   bool `json:"ends,omitempty"`
	Begins bool `json:"begins,omitempty"`
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
	// Failed says that the answer ends in an error of the member.
	Failed bool `json:"failed,omitempty"`
	// Member is the address of the member that answered.
	Member string `json:"member,omitempty"`
	// Replica says that a replica answered.
	Replica bool `json:"replica,omitempty"`
}

// Runs reports whether the unit executes anything, rather than only preparing
// or describing statements.
func (u *Unit) Runs() bool {
	return u.Shape == "" || strings.IndexByte(u.Shape, StepExecute) >= 0
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
	// Cancel asks the member to stop the statement that a unit is running. The
	// unit still gets its own answer.
	Cancel(group, unitID string)
}
