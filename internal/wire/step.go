package wire

// StepKind tells what one step of an exchange is for.
type StepKind int

// Kinds of steps.
const (
	// StepBegin opens a transaction of the product's own.
	StepBegin StepKind = iota
	// StepStoreKey stores the row of a request key with an outcome.
	StepStoreKey
	// StepFindKey looks a key's row up.
	StepFindKey
	// StepUnit is the unit itself.
	StepUnit
	// StepCommit commits the product's own transaction.
	StepCommit
	// StepRollback rolls back the transaction that is open on the connection.
	StepRollback
	// StepReport asks for the member's report.
	StepReport
)

// KeyOutcome is what a key's row says of its request.
type KeyOutcome string

// Outcomes of a request key.
const (
	KeyRan     KeyOutcome = "ran"
	KeyBlocked KeyOutcome = "blocked"
)

// Step is one part of an exchange that the member answers as a whole.
type Step struct {
	Kind StepKind
	// Key is the request key of a key step, and Outcome what to store with it.
	Key     string
	Outcome KeyOutcome
}
