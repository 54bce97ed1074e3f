// Package execution runs one unit of a caller's work at a group: admission,
// choice of a member, sending, confirmation, and the whole answer.
//
// A unit is what a caller sends between two answers that tell it to go on: one
// statement, or the messages of a batch. The caller's session builds it on the
// entry instance; a home instance of the group runs it. The two may be one
// process or be joined by a peer connection, and the same types serve both.
//
// The core reads of a unit what decides where and how it runs. What its
// messages look like is known to the two codecs at the ends: the one that the
// caller speaks and the one that the group's members speak.
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

// Value is a session value: a name that the caller's session has set.
type Value struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Unit is one piece of work.
type Unit struct {
	// ID names the unit on its entry instance, for cancel and partial answers.
	ID string `json:"id"`
	// Request is the caller's own name for the unit, for logs; it may be empty.
	Request string `json:"request,omitempty"`
	// ReplyTo is the peer address of the entry instance; empty when it is this one.
	ReplyTo string `json:"reply_to,omitempty"`
	// Relayed says that a home which could not serve the unit passed it on. It is
	// passed on once, so that it does not travel in circles.
	Relayed bool   `json:"relayed,omitempty"`
	Group   string `json:"group"`
	// Workspace is who the unit is run for; empty where callers belong to none.
	Workspace string `json:"workspace,omitempty"`
	// Owner is the workspace whose connections to members alone may run the unit; empty
	// where they are shared.
	Owner string `json:"owner,omitempty"`
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
	// Waited is how long the caller has asked for this before: the time since its first try
	// where the unit repeats one that was refused.
	Waited time.Duration `json:"waited,omitempty"`
	// Messages are encoded messages of the caller. Named statements go by names
	// made of their content, and what defines or drops them is left out: they
	// are shared between sessions.
	Messages []byte `json:"messages"`
	// Shape lists the extended-protocol messages in order, one Step each; empty
	// where the unit is one plain statement.
	Shape string `json:"shape,omitempty"`
	// Statements holds the named statements that Messages refer to.
	Statements map[string]Statement `json:"statements,omitempty"`
	// Unnamed is the session's unnamed statement where Messages refer to it
	// without defining it.
	Unnamed *Statement `json:"unnamed,omitempty"`
	// Values are the session's values, by name. The connection that runs the unit
	// must carry exactly these.
	Values []Value `json:"values,omitempty"`
	// Sets says that the unit does nothing but change session values, and
	// NextValues what they are when it has gone well.
	Sets       bool    `json:"sets,omitempty"`
	NextValues []Value `json:"next_values,omitempty"`
	// Ends hints that the unit ends a transaction, Begins that it opens one. A
	// wrong hint costs a round trip, never a promise.
	Ends   bool `json:"ends,omitempty"`
	Begins bool `json:"begins,omitempty"`
	// ReadOnly says that the unit itself only reads. False where the codec cannot
	// tell.
	ReadOnly bool `json:"read_only,omitempty"`
	// ReadTransaction says of a unit that Begins that its transaction only reads.
	ReadTransaction bool `json:"read_transaction,omitempty"`
	// Transaction names the open transaction; empty outside of one.
	Transaction string `json:"transaction,omitempty"`
}

// Reply is the answer to one unit.
type Reply struct {
	// Messages are encoded messages for the caller, without the one that tells
	// it to go on.
	Messages []byte `json:"messages"`
	// Token is the session's token from now on.
	Token logpos.Token `json:"token"`
	// Transaction names the transaction that is open after the unit.
	Transaction string `json:"transaction,omitempty"`
	// TransactionStatus is the status after the unit: I, T or E.
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

// OnlyReads reports whether neither the unit nor the transaction that it opens
// writes.
func (u *Unit) OnlyReads() bool {
	if u.Begins {
		return u.ReadTransaction
	}
	return u.ReadOnly
}

// Executor runs units.
type Executor interface {
	// Execute runs one unit. Large answers go to partial piece by piece before
	// the Reply, each piece a number of whole messages; an error after the first
	// piece means that the caller has seen a partial answer and must be cut off
	// with an error. Errors are *result.Error.
	Execute(ctx context.Context, u *Unit, partial func([]byte) error) (*Reply, error)
	// Abandon rolls back and releases an open transaction whose caller has ended
	// it without a commit or is gone. It does not wait for the member.
	Abandon(group, transaction string)
	// Cancel asks the member to stop the statement that a unit is running. The
	// unit still gets its own answer.
	Cancel(group, unitID string)
}
