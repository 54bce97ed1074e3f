// Package result holds the numbered result codes that callers and operators
// see, and the error type that carries one end to end.
//
// Codes fall into disjoint families. A code of FamilyDidNotRun is used only
// before the first byte of a statement was written to a member, or on a proof
// that the statement can never run. Everything else that went wrong after
// sending is FamilyOutcomeUnknown. A caller may repeat the first without risk
// and must settle the second itself.
package result

// Family tells what a caller may conclude from a code.
type Family int

// Families of codes.
const (
	// FamilyDidNotRun: the request did not run and never will.
	FamilyDidNotRun Family = iota + 1
	// FamilyOutcomeUnknown: the request may or may not have run.
	FamilyOutcomeUnknown
	// FamilyRan: the request ran, but this answer does not carry its result.
	FamilyRan
	// FamilyAdmin: outcomes of the administration API.
	FamilyAdmin
)

// String returns the family's name as callers read it.
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
