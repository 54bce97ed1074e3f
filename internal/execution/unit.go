// Package execution defines a unit of a caller's work, its reply, and the Executor
// that runs it at a group: admission, choice of a member, sending, confirmation,
// and the complete reply.
//
// A unit is what a caller sends before it waits for the complete reply: one
// statement, or the messages of a batch. The caller's session builds it on the
// entry instance, and a home instance of the group runs it. The two may be the
// same process or connected by a peer connection; both cases use the same types.
//
// The executor reads only the fields that decide where and how a unit runs. The
// format of the messages is known only to the two codecs at the ends: that of the
// caller's protocol and that of the members' protocol.
package execution

import (
	"context"
	"strings"
	"time"

	"github.com/topazrock/topazrock/internal/consistency"
	"github.com/topazrock/topazrock/internal/logpos"
)

// Step is the type of one extended-protocol message in a Unit's Shape. It determines
// which response the message gets.
type Step = byte

// Steps. The messages of synthetic steps are left out of Unit.Messages, and their
// responses are inserted among those of the member, in the order of Unit.Shape.
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

// SessionValue is a setting that the caller's session has changed, with its new value.
type SessionValue struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Unit is one unit of a caller's work, as described in the package comment.
type Unit struct {
	// ID identifies the unit among those of all instances and their earlier processes, for cancels
	// and partial replies. It comes from an IDSequence.
	ID string `json:"id"`
	// RequestName is the name that the caller gave the unit, for logs; it may be empty.
	RequestName string `json:"request,omitempty"`
	// ReplyTo is the peer address of the entry instance; empty if that is this instance.
	ReplyTo string `json:"reply_to,omitempty"`
	// Forwarded is set when a home instance that could not serve the unit forwarded it.
	// A unit is forwarded only once, which prevents forwarding loops.
	Forwarded bool   `json:"relayed,omitempty"`
	Group     string `json:"group"`
	// Workspace is the workspace that the unit runs for; empty if the caller has none.
	Workspace string `json:"workspace,omitempty"`
	// ConnectionOwner is the workspace that has its own member connections, to which the unit is
	// restricted; empty if the unit uses connections that workspaces share.
	ConnectionOwner string `json:"owner,omitempty"`
	// Class and Key come from the request's tag; empty if there is no tag.
	Class string `json:"class,omitempty"`
	Key   string `json:"key,omitempty"`
	// Consistency is what the unit's reads must see by the entry instance's configuration; nil if that
	// is not known there. A home whose configuration is of another version applies the stricter level.
	Consistency *consistency.Level `json:"consistency,omitempty"`
	// Token is the minimum log position that the session must observe.
	Token logpos.Token `json:"token"`
	// Roaming is set when the session started without a token and has not run
	// anything on this instance yet, or when its position in the group was dropped. It may have
	// written, so even a read that accepts stale data needs a position that covers all writes
	// acknowledged before.
	Roaming bool `json:"roaming,omitempty"`
	// Timeout is the time that remained until the caller's deadline when the unit was sent.
	Timeout time.Duration `json:"timeout"`
	// SinceFirstAttempt is the time since the caller's first attempt, if the unit retries one that
	// was refused.
	SinceFirstAttempt time.Duration `json:"waited,omitempty"`
	// Messages are the caller's encoded messages. Named statements are renamed after
	// a hash of their content, and the messages that define or close them are left
	// out, because sessions share these statements.
	Messages []byte `json:"messages"`
	// Shape lists the extended-protocol messages in order, one Step each; empty
	// if the unit is one simple query.
	Shape string `json:"shape,omitempty"`
	// Statements holds the named statements that Messages refer to.
	Statements map[string]Statement `json:"statements,omitempty"`
	// Unnamed is the session's unnamed statement, if Messages use it without
	// defining it.
	Unnamed *Statement `json:"unnamed,omitempty"`
	// Values are the session's values, sorted by name. The connection that runs the
	// unit must have exactly these set.
	Values []SessionValue `json:"values,omitempty"`
	// OnlySetsValues is set when the unit only changes session values. NextValues then holds the
	// session's values after the unit has succeeded.
	OnlySetsValues bool           `json:"sets,omitempty"`
	NextValues     []SessionValue `json:"next_values,omitempty"`
	// EndsTransaction is a hint that the unit ends a transaction, BeginsTransaction that it opens one. A
	// wrong hint costs a round trip but does not affect correctness.
	EndsTransaction   bool `json:"ends,omitempty"`
	BeginsTransaction bool `json:"begins,omitempty"`
	// ReadOnly is set when the unit itself only reads. It is false if the codec
	// cannot determine this.
	ReadOnly bool `json:"read_only,omitempty"`
	// ReadOnlyTransaction is set when the transaction that the unit opens only reads.
	ReadOnlyTransaction bool `json:"read_transaction,omitempty"`
	// Transaction is the ID of the open transaction; empty outside a transaction.
	Transaction string `json:"transaction,omitempty"`
	// DepartureID names the unit, among those of all instances, in the notice that its caller has
	// left; empty if no such notice is sent.
	DepartureID string `json:"departure,omitempty"`
}

// Reply is the reply to one unit.
type Reply struct {
	// Messages are the encoded messages for the caller, without the one that ends the
	// reply (ReadyForQuery in the PostgreSQL protocol).
	Messages []byte `json:"messages"`
	// Token is the session's new token.
	Token logpos.Token `json:"token"`
	// Transaction is the ID of the transaction that is open after the unit.
	Transaction string `json:"transaction,omitempty"`
	// TransactionStatus is the status after the unit: I (idle), T (in a transaction)
	// or E (in a failed transaction).
	TransactionStatus byte `json:"transaction_status"`
	// Failed is set when the messages end with an error from the member.
	Failed bool `json:"failed,omitempty"`
	// Member is the address of the member that replied.
	Member string `json:"member,omitempty"`
	// Replica is set when that member is a replica.
	Replica bool `json:"replica,omitempty"`
	// Home is the report of the home that ran the unit; nil if it made none.
	Home *HomeReport `json:"home,omitempty"`
	// Load is the load of the home that ran the unit; nil if it reported none.
	Load *LoadReport `json:"load,omitempty"`
}

// Executes reports whether the unit executes a statement rather than only preparing
// or describing statements.
func (u *Unit) Executes() bool {
	return u.Shape == "" || strings.IndexByte(u.Shape, StepExecute) >= 0
}

// IsReadOnly reports whether the unit, and the transaction if it opens one, only reads.
func (u *Unit) IsReadOnly() bool {
	if u.BeginsTransaction {
		return u.ReadOnlyTransaction
	}
	return u.ReadOnly
}

// Executor runs units.
type Executor interface {
	// Execute runs one unit. All but the end of a large reply is passed to partial, in
	// chunks of whole messages, before Execute returns the Reply. If Execute returns
	// an error after the first chunk, the caller has received part of a reply, and the
	// reply must be ended with an error. Errors are *result.Error.
	Execute(ctx context.Context, u *Unit, partial func([]byte) error) (*Reply, error)
	// AbandonTransaction rolls back and releases an open transaction whose caller ended it
	// without a commit or has disconnected. It does not wait for the member.
	AbandonTransaction(group, transaction string)
	// CancelUnit asks the member to cancel the statement that a unit is running. The
	// unit still gets its own reply.
	CancelUnit(group, unitID string)
}
