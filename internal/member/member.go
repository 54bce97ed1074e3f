// Package member is the seam between the product and one member of a database
// group: how a member tells its term and log position, and how it is fenced,
// promoted and told to follow.
//
// A member persists the highest term it has entered and refuses every call of a
// lower one. Entering a term stops it from taking records, commits or promotions
// of older terms. Two terms are kept apart: the term entered (fencing) and the
// term of the last log record (what its log is worth).
package member

import (
	"context"

	"github.com/topazrock/topazrock/internal/logpos"
)

// Role is what a member does in its entered term.
type Role string

// Roles of a member.
const (
	// RolePrimary takes writes in its entered term.
	RolePrimary Role = "primary"
	// RoleReplica follows the primary of its entered term.
	RoleReplica Role = "replica"
	// RoleFenced has entered a term but neither leads nor follows in it yet.
	RoleFenced Role = "fenced"
)

// Status is a member's own report.
type Status struct {
	Role Role `json:"role"`
	// Entered is the highest term that the member has entered.
	Entered logpos.Term `json:"entered"`
	// Last is the last record of its log: the term that wrote it, and its end.
	Last logpos.Mark `json:"last"`
	// TermStart is where the log of the entered term begins, on its primary and
	// on replicas attached to it. It is at or past all that older terms acknowledged.
	TermStart logpos.Position `json:"term_start"`
	// Attached is the term in which a replica's log is known to be a prefix of
	// its primary's log. It is zero while a discarded tail may still be there.
	// A primary reports its own term.
	Attached logpos.Term `json:"attached"`
}

// Promotion is what a member is told that is to lead.
type Promotion struct {
	// Term is the one it is to lead in.
	Term logpos.Term
	// Claimer is the instance that promotes it, and Claim the number of the claim
	// under which it does. The numbers of a group's claims only rise, so that
	// who carries orders out can refuse those of an earlier claim.
	Claimer string
	Claim   uint64
}

// Control is the control side of one member. Every method returns the status
// after the call, or an error; ErrTermPassed when the member has entered a
// higher term than the call's.
type Control interface {
	// Status asks for the member's report.
	Status(ctx context.Context) (Status, error)
	// WaitPosition returns the report once the log reaches position or the
	// member's entered term changes, or when ctx nears its deadline.
	WaitPosition(ctx context.Context, position logpos.Position) (Status, error)
	// EnterTerm fences the member in term. Entering a term again is idempotent.
	EnterTerm(ctx context.Context, term logpos.Term) (Status, error)
	// Promote makes a member fenced in the promotion's term its primary. It is
	// idempotent for the member that is the primary of that term already.
	Promote(ctx context.Context, p Promotion) (Status, error)
	// Follow attaches a member fenced in term to the primary at address. The
	// member drops any tail that is not in the primary's log.
	Follow(ctx context.Context, term logpos.Term, primary string) (Status, error)
	// Close ends the control connection.
	Close() error
}

// Dialer opens the control side of the member at an address on a new connection.
type Dialer interface {
	DialControl(ctx context.Context, address string) (Control, error)
}
