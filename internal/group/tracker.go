package group

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// Tracker is the view of one group that execution and routing use.
type Tracker interface {
	// Snapshot returns the newest snapshot; never nil.
	Snapshot() *Snapshot
	// Confirm waits until replicas that were attached in mark.Term when they
	// reported, enough to make a majority with the primary, hold
	// mark.Position. It returns a *result.Error of code PrimaryReplaced when a
	// higher term was seen, or ConfirmTimeout when ctx ends first.
	Confirm(ctx context.Context, mark logpos.Mark) error
	// ConfirmCommit is Confirm for the mark of a commit. A commit that a replica
	// of the term holds came before any fence of that replica, so that a log
	// seen at any time proves it; for a read it would not.
	ConfirmCommit(ctx context.Context, mark logpos.Mark) error
	// Barrier returns a confirmed mark of the primary, asked for after the call
	// began. Calls that wait at the same moment share one round.
	Barrier(ctx context.Context) (logpos.Mark, error)
	// Floor returns a mark that covers all that was acknowledged before the call:
	// that of a Barrier, or what a majority of the members report, with or without
	// a primary. The log of the latter may end in records that nobody acknowledged
	// and a promotion discards, so that the mark is no token for a session: it is
	// for reads by members that check it themselves.
	Floor(ctx context.Context) (logpos.Mark, error)
	// Verify begins to prove that the primary of the present term has not been
	// replaced at the moment of the call. Wait for it after the answer of what
	// was sent meanwhile, or Drop it.
	Verify() (*Verification, error)
	// Proven returns a mark of the log, asked for at or after notBefore, that
	// covers all that was acknowledged before notBefore; the oldest one, which
	// the most replicas have reached, and the last Floor where there is no other.
	// False when no such mark is proved.
	Proven(notBefore time.Time) (logpos.Mark, bool)
	// Ask takes a ticket before a statement is sent, and Observed hands in what
	// its answer showed of the member's log.
	Ask() Ticket
	Observed(address string, t Ticket, s Observation)
	// Recheck asks a member for its report soon: what it answered does not fit
	// what is known of it.
	Recheck(address string)
	// ReportFailure tells the tracker that a member failed a statement, so that
	// it is probed at once.
	ReportFailure(address string)
}
