package group

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// Tracker is the interface to one group that execution and routing use.
type Tracker interface {
	// Snapshot returns the newest snapshot; never nil.
	Snapshot() *Snapshot
	// Confirm waits until mark.Position is held by replicas that were attached in
	// mark.Term when they reported and that form a majority with the primary. It returns a
	// *result.Error with code PrimaryReplaced when a higher term was seen, or
	// ConfirmTimeout when ctx ends first.
	Confirm(ctx context.Context, mark logpos.TermPosition) error
	// ConfirmCommit is Confirm for the mark of a commit. If a replica of the term holds a
	// commit, the commit came before any fencing of that replica, so a log position proves
	// it regardless of when it was requested. This does not apply to reads.
	ConfirmCommit(ctx context.Context, mark logpos.TermPosition) error
	// Barrier returns a confirmed mark of the primary that was requested after the call
	// began. Concurrent calls share a round.
	Barrier(ctx context.Context) (logpos.TermPosition, error)
	// FetchFloor returns a mark that covers every write acknowledged before the call: that of a
	// Barrier, or one derived from the reports of a majority of the members, with or
	// without a primary. In the latter case it may cover records that were never
	// acknowledged and that a promotion discards. The mark must therefore not be used as a
	// session token; it is for reads at members that check it themselves.
	FetchFloor(ctx context.Context) (logpos.TermPosition, error)
	// Verify begins to prove that the primary of the current term has not been replaced at
	// the time of the call. Call Wait once the concurrently sent request is answered, or
	// Cancel.
	Verify() (*Verification, error)
	// ProvenPosition returns a log position, requested at or after notBefore, that covers every write
	// acknowledged before notBefore. It returns the oldest such position, which the most
	// replicas have reached, or the last FetchFloor result if there is no other. The result is false
	// if no such position is proven.
	ProvenPosition(notBefore time.Time) (logpos.TermPosition, bool)
	// NewTicket returns a ticket, to be taken before a statement is sent. RecordAnswer records what
	// the answer to the statement revealed about the member's log.
	NewTicket() Ticket
	RecordAnswer(address string, t Ticket, s StatementObservation)
	// Recheck requests a new report of a member soon, because an answer contradicts what
	// is known about it.
	Recheck(address string)
	// ReportFailure reports that a statement at a member failed, so that the member is
	// probed immediately.
	ReportFailure(address string)
}
