package wire

// StepKind is the purpose of one step of an exchange.
type StepKind int

// Kinds of steps.
const (
	// StepBegin starts a transaction that topazrock itself manages.
	StepBegin StepKind = iota
	// StepStoreKey inserts the row of a request key with its outcome.
	StepStoreKey
	// StepFindKey reads the row of a request key.
	StepFindKey
	// StepUnit runs the unit itself.
	StepUnit
	// StepCommit commits the transaction of StepBegin.
	StepCommit
	// StepRollback rolls back the transaction that is open on the connection.
	StepRollback
	// StepMemberStatus requests the member's status.
	StepMemberStatus
)

// KeyOutcome is the outcome of a request as stored with its request key.
type KeyOutcome string

// Outcomes of a request key.
const (
	KeyRan     KeyOutcome = "ran"
	KeyBlocked KeyOutcome = "blocked"
)

// Step is one part of an exchange that gets one complete response from the member.
type Step struct {
	Kind StepKind
	// Key is the request key of a key step, and Outcome the value that StepStoreKey stores.
	Key     string
	Outcome KeyOutcome
}
