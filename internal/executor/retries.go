package executor

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/retry"
)

// mayRetryRead decides on one more attempt, and waits for its turn. Reads on
// replicas are idempotent: a replica refuses anything that writes.
func (g *Group) mayRetryRead(ctx context.Context, err error, attempt int) bool {
	e, ok := result.As(err)
	if !ok || ctx.Err() != nil || attempt >= maxReadAttempts {
		return false
	}
	reason, ok := retryReasons[e.Code]
	if !ok {
		return false
	}
	if e.Code == result.NoReplicaFresh {
		// The member answered at once and did no work, so that asking another
		// one adds no load worth a budget.
		return true
	}
	deadline, _ := ctx.Deadline()
	failed := retry.Attempt{Number: attempt, Reason: reason, Deadline: deadline}
	return g.Budget.Wait(ctx, failed) == nil
}

// retryReasons are the codes after which a read may go to another member.
var retryReasons = map[result.Code]retry.Reason{
	result.ConnectionLost:      retry.ConnectionLost,
	result.StatementTimeout:    retry.Silent,
	result.UpstreamUnreachable: retry.Unreachable,
	result.TooManyConnections:  retry.Full,
	result.NoReplicaFresh:      retry.NotFresh,
	result.MemberBusy:          retry.Busy,
	result.ReadFailed:          retry.Failed,
}

// mayReadElsewhere reports whether a read that wants the primary may go to any member
// whose log holds what a majority proves: there is no primary to ask, or it failed the
// read, and members check positions themselves. Reads of a group that lost its primary
// so go on while it is replaced, which takes seconds, and in a failure domain that
// cannot replace it.
func (g *Group) mayReadElsewhere(u *execution.Unit, p plan, err error) bool {
	if !g.Wire.ChecksPosition || !p.read || !u.ReadOnly || u.Begins && !u.ReadTransaction {
		return false
	}
	e, ok := result.As(err)
	return ok && primaryFailed[e.Code] && g.Tracker.Snapshot().MajorityAnswers()
}

// primaryFailed are the codes of a read for which there was no primary, or none that
// answered.
var primaryFailed = map[result.Code]bool{
	result.NoPrimary:           true,
	result.NoConfirmingReplica: true,
	result.UpstreamUnreachable: true,
	result.ConnectionLost:      true,
	result.StatementTimeout:    true,
}

// logWait bounds how long a read waits for a replica to apply what it has received:
// several times a usual lag, and short against what callers want.
const logWait = 150 * time.Millisecond

// mayWaitForLog waits for a moment, after which the members may be tried again that
// were, where there is no primary to turn to: replicas apply what they have received
// some milliseconds later, and a floor counts what they have received.
func (g *Group) mayWaitForLog(ctx context.Context, tried map[string]bool, until time.Time) bool {
	if !g.Wire.ChecksPosition || len(tried) == 0 || !g.Clock.Now().Before(until) {
		return false
	}
	if _, err := g.findWritable(); err == nil || !g.Tracker.Snapshot().MajorityAnswers() {
		return false
	}
	return g.pause(ctx) == nil
}

// mayResend waits until a write that was refused before it ran may be sent again.
func (g *Group) mayResend(ctx context.Context, p plan, err error, attempt int) bool {
	e, ok := result.As(err)
	if !ok || attempt >= maxWriteAttempts {
		return false
	}
	switch e.Code {
	case result.NoPrimary, result.NoConfirmingReplica:
		return g.awaitPrimary(ctx, p)
	case result.UpstreamUnreachable:
		deadline, _ := ctx.Deadline()
		a := retry.Attempt{Number: attempt, Reason: retry.Unreachable, RetryAfter: e.RetryAfter, Deadline: deadline}
		return g.Budget.Wait(ctx, a) == nil && g.awaitPrimary(ctx, p)
	default:
		return false
	}
}
