package group

import (
	"context"

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
	// Barrier returns a confirmed mark of the primary, asked for after the call
	// began. Calls that wait at the same moment share one round.
	Barrier(ctx context.Context) (logpos.Mark, error)
	// ReportFailure tells the tracker that a member failed a statement, so that
	// it is probed at once.
	ReportFailure(address string)
}
