package wire

import (
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// Exchange is one conversation about a unit. The statements and session values
// that the unit needs are brought onto the connection in front of the steps.
type Exchange struct {
	Unit  *execution.Unit
	Steps []Step
	// Required is the position that the member's log must hold, where the
	// member can check it: a read at one that lacks it fails as FailureBehind.
	// Zero demands nothing.
	Required logpos.Mark
	// AnswerBuffer is how many bytes of the unit's answer are held before the
	// first go to Partial.
	AnswerBuffer int
	Partial      func([]byte) error

	Outcome
}

// Outcome is what an Exchange came to.
type Outcome struct {
	// Messages are the encoded answers to the unit for the caller.
	Messages []byte
	// Streamed says that a piece of the answer has gone to Partial.
	Streamed bool
	// Completed counts the unit's statements that ended well.
	Completed int
	// Failure is the error that ended the unit; nil if it went well.
	Failure *Failure
	// KeyFailure is the error of a key step.
	KeyFailure *Failure
	// KeyOutcome is the row that a FindKey step returned; empty for none.
	KeyOutcome KeyOutcome
	// Committed says that the exchange committed something that may have written:
	// the Commit step did, or the unit itself where the protocol tells.
	Committed bool
	// Report is the member's report behind the unit; nil when it was not asked
	// for or did not come.
	Report *member.Status
	// Final is the transaction status after the last step but the report.
	Final Status
	// Log is the end of the member's log as its answer to the unit told it;
	// zero where the protocol does not tell.
	Log logpos.Mark
}

// Status is the transaction status of a connection.
type Status byte

// Statuses of a connection.
const (
	// Idle: no transaction is open.
	Idle Status = 'I'
	// InTransaction: a transaction is open.
	InTransaction Status = 'T'
	// InFailed: the open transaction failed and can only be rolled back.
	InFailed Status = 'E'
)

// FailureKind is what the core has to know of a member's error.
type FailureKind int

// Kinds of failure.
const (
	// FailureOther: the statement failed. The caller gets the error as it is.
	FailureOther FailureKind = iota
	// FailureReadOnly: the member does not lead and took nothing.
	FailureReadOnly
	// FailureKeyExists: the key's row is there already.
	FailureKeyExists
	// FailureBehind: the member's log lacks the required position. Nothing ran.
	FailureBehind
	// FailureBusy: the member has no room for the statement. Nothing ran.
	FailureBusy
	// FailureRan: the statement ran and failed at this member; the same read
	// may go well at another one.
	FailureRan
)

// Failure is a member's error.
type Failure struct {
	Kind          FailureKind
	Code, Message string
}
