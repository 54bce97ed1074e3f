package executor

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// statusIdle is ReadyForQuery's transaction status outside of a transaction.
	statusIdle = 'I'
	// cancelTimeout bounds the sending of a cancel request.
	cancelTimeout = 2 * time.Second
	// retryAfterFailover is when a caller should come back that met a group
	// without a primary: about the time that a failover takes.
	retryAfterFailover = 250 * time.Millisecond
	// maxReadAttempts bounds the members that one read is sent to.
	maxReadAttempts = 3
	// tokenWait bounds the wait for a token's term to be learned.
	tokenWait = 500 * time.Millisecond
	// reapInterval is how often idle transactions are looked for.
	reapInterval = time.Second
)

func (g *Group) statementDeadline(ctx context.Context, p plan) time.Time {
	return earlier(ctx, g.Clock.Now().Add(p.limits.StatementTimeout))
}

func (g *Group) confirmDeadline(ctx context.Context, p plan) time.Time {
	return earlier(ctx, g.Clock.Now().Add(p.limits.ConfirmTimeout))
}

// earlier returns the earlier of t and ctx's deadline.
func earlier(ctx context.Context, t time.Time) time.Time {
	if d, ok := ctx.Deadline(); ok && d.Before(t) {
		return d
	}
	return t
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
