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
	// retryAfterFailover is when a caller should come back that met a group
	// without a primary: about the time that a failover takes.
	retryAfterFailover = 250 * time.Millisecond
	// retryAfterBusy is when a caller should come back that met a member without
	// room: about the time that one statement takes.
	retryAfterBusy = 50 * time.Millisecond
	// rollBackTimeout bounds the rollback of an abandoned transaction. It is long
	// against a round trip, and short against what a lock may be held up for.
	rollBackTimeout = time.Second
	// maxReadAttempts bounds the members that one read is sent to.
	maxReadAttempts = 3
	// maxWriteAttempts bounds how often a write that did not run is sent again.
	maxWriteAttempts = 4
	// tokenWait bounds the wait for a token's term to be learned.
	tokenWait = 500 * time.Millisecond
	// settleReserve is the time that a keyed request keeps for settling its
	// outcome: about a failover and two round trips.
	settleReserve = time.Second
	// silenceWindow is how recently an idle connection must have been used to be
	// left alone when another one has gone silent.
	silenceWindow = 100 * time.Millisecond
	// reapInterval is how often idle transactions are looked for.
	reapInterval = time.Second
)

// statementDeadline bounds the member's answer to one unit. A keyed request
// keeps a part of its time back: its outcome can still be settled when the
// connection goes silent, but not after the caller's deadline.
func (g *Group) statementDeadline(ctx context.Context, p plan, keyed bool) time.Time {
	now := g.Clock.Now()
	deadline := earlier(ctx, now.Add(p.limits.StatementTimeout))
	if keyed {
		deadline = deadline.Add(-min(settleReserve, deadline.Sub(now)/2))
	}
	return deadline
}

func (g *Group) confirmDeadline(ctx context.Context, p plan) time.Time {
	return earlier(ctx, g.Clock.Now().Add(p.limits.ConfirmTimeout))
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
