package executor

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/retry"
)

// mayRetryRead decides whether a read may be sent again, and waits as long as the retry budget
// requires. Reads at replicas are idempotent: a replica refuses all writes.
func (g *Group) mayRetryRead(ctx context.Context, err error, attempt int) bool {
	execution.DepartureOf(ctx).ResumeAll()
	e, ok := result.As(err)
	if !ok || ctx.Err() != nil || attempt >= maxReadAttempts {
		return false
	}
	reason, ok := retryReasons[e.Code]
	if !ok {
		return false
	}
	if e.Code == result.NoFreshReplica {
		// The member answered immediately without doing any work, so asking another one adds no
		// load that needs a budget.
		return true
	}
	if e.Code == result.TooManyConnections && g.awaitsLostConnections() && !g.canConnect() {
		return false
	}
	deadline, _ := ctx.Deadline()
	failed := retry.Attempt{Number: attempt, Reason: reason, Deadline: deadline}
	return g.Budget.Wait(ctx, failed) == nil
}

// retryReasons maps the codes after which a read may go to another member to retry reasons.
var retryReasons = map[result.Code]retry.Reason{
	result.ConnectionLost:      retry.ConnectionLost,
	result.StatementTimeout:    retry.ReadTimeout,
	result.UpstreamUnreachable: retry.Unreachable,
	result.TooManyConnections:  retry.ConnectionLimit,
	result.NoFreshReplica:      retry.NotFresh,
	result.MemberBusy:          retry.Busy,
	result.ReadFailed:          retry.ReadFailed,
}

// mayReadElsewhere reports whether a read that failed for lack of a primary, or at the primary, may
// go to any member whose log contains the position that a majority proves. This requires that
// members check positions themselves and that a majority answers. Reads of a group that lost its
// primary thus continue while it is replaced, which takes seconds, and in a failure domain that
// cannot replace it.
func (g *Group) mayReadElsewhere(u *execution.Unit, p plan, err error) bool {
	if !g.Wire.ChecksPosition || !p.read || !u.ReadOnly || u.BeginsTransaction && !u.ReadOnlyTransaction {
		return false
	}
	e, ok := result.As(err)
	return ok && primaryFailureCodes[e.Code] && g.Tracker.Snapshot().QuorumReachable()
}

// primaryFailureCodes are the codes of a read for which there was no primary or the primary did
// not answer.
var primaryFailureCodes = map[result.Code]bool{
	result.NoPrimary:           true,
	result.NoConfirmingReplica: true,
	result.UpstreamUnreachable: true,
	result.ConnectionLost:      true,
	result.StatementTimeout:    true,
}

// replicaApplyWait bounds how long a read waits for a replica to apply received log entries:
// several times the usual lag, and short compared with callers' objectives.
const replicaApplyWait = 150 * time.Millisecond

// waitForReplicaApply waits for one poll interval and reports whether the members that were tried
// may be tried again: only before until, and only if there is no primary to use but a majority
// answers. The position that a read requires may be a floor, which includes entries that replicas
// have received but apply only a few milliseconds later.
func (g *Group) waitForReplicaApply(ctx context.Context, tried map[string]bool, until time.Time) bool {
	if !g.Wire.ChecksPosition || len(tried) == 0 || !g.Clock.Now().Before(until) {
		return false
	}
	if _, err := g.findWritablePrimary(); err == nil || !g.Tracker.Snapshot().QuorumReachable() {
		return false
	}
	return g.sleepPollInterval(ctx) == nil
}

// mayResend reports whether a write that was refused before it ran may be sent again. It waits
// first for a primary and, after a failed connection attempt, for the retry budget.
func (g *Group) mayResend(ctx context.Context, p plan, err error, attempt int) bool {
	e, ok := result.As(err)
	if !ok || attempt >= maxWriteAttempts {
		return false
	}
	switch e.Code {
	case result.NoPrimary, result.NoConfirmingReplica:
		execution.DepartureOf(ctx).ResumeAll()
		return g.awaitPrimary(ctx, p)
	case result.UpstreamUnreachable:
		execution.DepartureOf(ctx).ResumeAll()
		deadline, _ := ctx.Deadline()
		a := retry.Attempt{Number: attempt, Reason: retry.Unreachable, RetryAfter: e.RetryAfter, Deadline: deadline}
		if g.Budget.Wait(ctx, a) != nil {
			return false
		}
		if !g.awaitPrimary(ctx, p) {
			g.Budget.ReturnRetry()
			return false
		}
		return true
	default:
		return false
	}
}
