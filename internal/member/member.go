// Package member defines the control interface of one member of a database
// group: reading its term and log position, fencing it, promoting it, and
// attaching it to a primary.
//
// A member persists the highest term it has entered and rejects every call with
// a lower term. Once it has entered a term, it accepts no records, commits or
// promotions of older terms. Its entered term is used for fencing. The term of
// its last log record is separate and determines how recent its log is.
package member

import (
	"context"

	"github.com/topazrock/topazrock/internal/logpos"
)

// Role is the role of a member in its entered term.
type Role string

// Roles of a member.
const (
	// RolePrimary accepts writes in its entered term.
	RolePrimary Role = "primary"
	// RoleReplica replicates from the primary of its entered term.
	RoleReplica Role = "replica"
	// RoleFenced has entered a term but is not yet primary or replica in it.
	RoleFenced Role = "fenced"
)

// Status is the state that a member reports about itself.
type Status struct {
	Role Role `json:"role"`
	// EnteredTerm is the highest term that the member has entered.
	EnteredTerm logpos.Term `json:"entered"`
	// LastRecord identifies the last record of the member's log by the term that wrote
	// it and the position of its end.
	LastRecord logpos.TermPosition `json:"last"`
	// TermStart is the position at which the log of the entered term begins, on
	// its primary and on replicas attached to it. All records that older terms
	// acknowledged end at or before it.
	TermStart logpos.Position `json:"term_start"`
	// AttachedTerm is the term in which a replica's log is known to be a prefix of
	// its primary's log. It is zero while the log may still end with records that
	// the primary's log lacks. A primary reports its own term.
	AttachedTerm logpos.Term `json:"attached"`
	// Connections is the number of connections that the member counts; zero if it does not
	// report it.
	Connections int `json:"connections,omitempty"`
}

// Promotion holds the parameters of a promotion to primary.
type Promotion struct {
	// Term is the term in which the member becomes primary.
	Term logpos.Term
	// Claimer is the instance that promotes the member, and Claim the number of
	// its claim on the group. The claim numbers of a group only increase, so that
	// the receiver of a promotion can reject one made under an earlier claim.
	Claimer string
	Claim   uint64
	// Guard protects a promotion that is requested from a receiver that compares neither terms nor
	// claims; nil means no protection.
	Guard ClaimGuard
}

// Control is a control connection to one member. Except for Close, every method
// returns the status after the call or an error, which is ErrStaleTerm if the
// member has entered a higher term than that of the call.
type Control interface {
	// Status returns the current status of the member.
	Status(ctx context.Context) (Status, error)
	// WaitPosition returns the status once the log reaches position or the entered
	// term changes, and otherwise shortly before the deadline of ctx.
	WaitPosition(ctx context.Context, position logpos.Position) (Status, error)
	// EnterTerm makes the member enter term, which fences it. It is idempotent.
	EnterTerm(ctx context.Context, term logpos.Term) (Status, error)
	// Promote makes a member that is fenced in p.Term the primary of that term.
	// It is idempotent if the member already is that primary.
	Promote(ctx context.Context, p Promotion) (Status, error)
	// Follow attaches a member that is fenced in term to the primary at the address
	// primary. The member discards any records at the end of its log that the
	// primary's log lacks.
	Follow(ctx context.Context, term logpos.Term, primary string) (Status, error)
	// Close closes the control connection.
	Close() error
}

// Dialer opens a new control connection to the member at an address.
type Dialer interface {
	DialControl(ctx context.Context, address string) (Control, error)
}
