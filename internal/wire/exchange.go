package wire

import (
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// Exchange is one request to a member for a unit, and its outcome. Prepared statements and
// session values that the unit needs are sent before the steps.
type Exchange struct {
	Unit  *execution.Unit
	Steps []Step
	// Required is the minimum position of the member's log, for protocols in which the
	// member checks it: a read fails with FailureLagging if the log has not reached it.
	// Zero means no requirement.
	Required logpos.TermPosition
	// ResponseBuffer is how many bytes of the unit's response are buffered before they are
	// passed to Partial.
	ResponseBuffer int
	Partial        func([]byte) error

	Outcome
}

// Outcome is the result of an Exchange.
type Outcome struct {
	// Messages are the encoded responses to the unit for the caller.
	Messages []byte
	// Streamed reports that a piece of the response was passed to Partial.
	Streamed bool
	// Completed counts the unit's statements that succeeded.
	Completed int
	// Failure is the error that ended the unit; nil if it succeeded.
	Failure *Failure
	// KeyFailure is the error of a key step.
	KeyFailure *Failure
	// KeyOutcome is the outcome that a StepFindKey read; empty if there is no row.
	KeyOutcome KeyOutcome
	// Committed reports that the exchange committed a transaction that may have written.
	// The commit was either its StepCommit or done by the unit itself, if the protocol
	// reports that.
	Committed bool
	// MemberStatus is the member's status after the unit; nil when it was not requested or not
	// received.
	MemberStatus *member.Status
	// TxStatus is the transaction status after the last step other than StepMemberStatus.
	TxStatus Status
	// LogPosition is the end of the member's log as reported in its response to the unit; zero if
	// the protocol does not report it.
	LogPosition logpos.TermPosition
}

// Status is the transaction status of a connection.
type Status byte

// Transaction statuses.
const (
	// Idle: no transaction is open.
	Idle Status = 'I'
	// InTransaction: a transaction is open.
	InTransaction Status = 'T'
	// InFailedTransaction: the open transaction failed and can only be rolled back.
	InFailedTransaction Status = 'E'
)

// FailureKind classifies a member's error by how the core handles it.
type FailureKind int

// Kinds of failure.
const (
	// FailureOther: the statement failed. The caller gets the member's error unchanged.
	FailureOther FailureKind = iota
	// FailureReadOnly: the member is not the primary and wrote nothing.
	FailureReadOnly
	// FailureKeyExists: a row for the request key exists already.
	FailureKeyExists
	// FailureLagging: the member's log has not reached the required position. Nothing ran.
	FailureLagging
	// FailureBusy: the member has no capacity for the statement. Nothing ran.
	FailureBusy
	// FailureAtMember: the statement ran and failed at this member; the same read may succeed at
	// another one.
	FailureAtMember
)

// Failure is a member's error.
type Failure struct {
	Kind          FailureKind
	Code, Message string
}
