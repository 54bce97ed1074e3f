// Package result defines the numbered result codes that callers and operators
// see, and the error type that carries a code from its origin to the caller.
//
// Each code belongs to exactly one family. A code of FamilyDidNotRun is used only
// if no byte of the statement has been written to a member, or if it is proved
// that the statement can never run. Any other failure after sending has a code of
// FamilyOutcomeUnknown. A caller can safely repeat a request that did not run. If the
// outcome is unknown, the caller itself must find out whether the request ran.
package result

// Family is a group of codes from which a caller can draw the same conclusion.
type Family int

// Families of codes.
const (
	// FamilyDidNotRun: the request did not run and never will.
	FamilyDidNotRun Family = iota + 1
	// FamilyOutcomeUnknown: the request may or may not have run.
	FamilyOutcomeUnknown
	// FamilyRan: the request has run, but this response does not contain its result.
	FamilyRan
	// FamilyAdmin: the code is a result of the administration API.
	FamilyAdmin
)

// String returns the family's name as shown to callers.
func (f Family) String() string {
	switch f {
	case FamilyDidNotRun:
		return "did not run"
	case FamilyOutcomeUnknown:
		return "outcome unknown"
	case FamilyRan:
		return "already ran"
	default:
		return "administration"
	}
}
