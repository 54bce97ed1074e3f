package executor

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// cancelTimeout bounds the sending of a cancel request.
	cancelTimeout = 2 * time.Second
	// retryAfterFailover is the retry delay suggested to callers when a group has no primary:
	// about the duration of a failover.
	retryAfterFailover = 250 * time.Millisecond
	// retryAfterBusy is the retry delay suggested to callers when a member has no free capacity:
	// about the duration of one statement.
	retryAfterBusy = 50 * time.Millisecond
	// rollbackTimeout bounds the rollback of an abandoned transaction. It is long compared with a
	// round trip and short compared with how long others may wait for the transaction's locks.
	rollbackTimeout = time.Second
	// maxReadAttempts is the number of members that one read may be sent to.
	maxReadAttempts = 3
	// maxWriteAttempts is how often a write may be sent if the earlier attempts did not run.
	maxWriteAttempts = 4
	// tokenWait bounds the wait until the term of a session token is known.
	tokenWait = 500 * time.Millisecond
	// resolveReserve is the time that a keyed request reserves for resolving an unknown
	// outcome: about a failover and two round trips.
	resolveReserve = time.Second
	// recentUseWindow is how recently an idle connection must have been used to be exempt from
	// a probe when another connection has stopped responding.
	recentUseWindow = 100 * time.Millisecond
	// reapInterval is the interval between two checks for idle transactions.
	reapInterval = time.Second
)

// statementDeadline bounds the member's answer to one unit. A keyed request reserves part of its
// time: if the connection stops responding, its outcome can still be resolved, but not after the
// caller's deadline.
func (g *Group) statementDeadline(ctx context.Context, p plan, keyed bool) time.Time {
	now := g.Clock.Now()
	deadline := earlierDeadline(ctx, now.Add(p.limits.StatementTimeout))
	if keyed {
		deadline = deadline.Add(-min(resolveReserve, deadline.Sub(now)/2))
	}
	return deadline
}

func (g *Group) confirmDeadline(ctx context.Context, p plan) time.Time {
	return earlierDeadline(ctx, g.Clock.Now().Add(p.limits.ConfirmTimeout))
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
