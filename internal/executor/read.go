package executor

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/retry"
	"github.com/topazrock/topazrock/internal/routing"
)

// need is what a read must see, worked out once.
type need struct {
	position logpos.Position
	maxAge   time.Duration
	// token is the session's token after the read.
	token logpos.Token
}

// read runs a declared read at a replica that can prove enough, or at the primary.
func (g *Group) read(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, error) {
	if onlyPrepares(u) {
		if reply, done, err := g.prepareAtReplica(ctx, u, p, partial); done {
			return reply, err
		}
	}
	n, err := g.need(ctx, u, p)
	if err != nil {
		return nil, err
	}
	exclude := make(map[string]bool)
	for attempt := 1; ; attempt++ {
		m, ok := g.pickReplica(n, exclude)
		if !ok {
			return g.readAtPrimary(ctx, u, p, partial)
		}
		reply, streamed, err := g.atReplica(ctx, u, p, m, n, partial)
		if err == nil || streamed || !g.mayRetryRead(ctx, err, attempt) {
			return reply, err
		}
		exclude[m.Address] = true
	}
}

// onlyPrepares reports that a unit shows no rows and changes none. What its
// statements name must still be there, so a session that may have made it
// elsewhere a moment ago is not meant.
func onlyPrepares(u *execution.Unit) bool {
	return !u.Runs() && !(u.Roaming && u.Token.IsZero())
}

// prepareAtReplica runs a unit that only prepares or describes statements at a
// replica that has the session's own work. It shows no rows, so a barrier would
// only let each new statement wait twice for the lag: here and when it runs. The
// second value is false when the usual way must decide, as it must when the
// member answers with an error: what the statement names may be newer than it.
func (g *Group) prepareAtReplica(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, bool, error) {
	position, known := routing.RequiredPosition(g.Tracker.Snapshot(), u.Token)
	if !known {
		return nil, false, nil
	}
	n := need{position: position, token: u.Token}
	m, ok := g.pickReplica(n, nil)
	if !ok {
		return nil, false, nil
	}
	reply, streamed, err := g.atReplica(ctx, u, p, m, n, partial)
	return reply, streamed || err == nil && !reply.Failed, err
}

// need works out what the read must see. A read that must be fresh, and the
// first read of a session whose past is not known, take a barrier.
func (g *Group) need(ctx context.Context, u *execution.Unit, p plan) (need, error) {
	if u.Token.IsZero() && u.Roaming || p.maxAge == 0 {
		return g.needBarrier(ctx, u, p)
	}
	s, err := g.snapshotOf(ctx, u.Token)
	if err != nil {
		return need{}, err
	}
	position, _ := routing.RequiredPosition(s, u.Token)
	if position > endOfLog(s) {
		// The token may be forged, or reports may lag; the barrier tells.
		return g.needBarrier(ctx, u, p)
	}
	return need{position: position, maxAge: p.maxAge, token: u.Token}, nil
}

func (g *Group) needBarrier(ctx context.Context, u *execution.Unit, p plan) (need, error) {
	if _, err := g.snapshotOf(ctx, u.Token); err != nil {
		return need{}, err
	}
	if err := g.barrierPossible(ctx, p); err != nil {
		return need{}, err
	}
	bounded, cancel := context.WithDeadline(ctx, g.confirmDeadline(ctx, p))
	defer cancel()
	mark, err := g.Tracker.Barrier(bounded)
	if err != nil {
		return need{}, g.barrierFailed(err)
	}
	if u.Token.Term == mark.Term && u.Token.Position > mark.Position {
		return need{}, result.New(result.TokenUnreachable, "token %s, log ends at %d", u.Token, mark.Position)
	}
	return need{position: mark.Position, token: g.token(mark)}, nil
}

// barrierPossible refuses a barrier that no replica would confirm: at once where
// the group has been without a primary for longer than a failover takes, as in a
// failure domain that is cut off, and after that time otherwise.
func (g *Group) barrierPossible(ctx context.Context, p plan) error {
	_, err := g.writablePrimary()
	if err == nil || g.awaitPrimary(ctx, p) {
		return nil
	}
	return g.barrierFailed(err)
}

// barrierFailed says that the read was never sent.
func (g *Group) barrierFailed(err error) error {
	return result.New(result.NoReplicaFresh, "no barrier").WithCause(err).WithRetryAfter(retryAfterFailover)
}

// snapshotOf waits for a short time for a snapshot that knows the token's term.
func (g *Group) snapshotOf(ctx context.Context, t logpos.Token) (*group.Snapshot, error) {
	deadline := earlier(ctx, g.Clock.Now().Add(tokenWait))
	for {
		s := g.Tracker.Snapshot()
		if t.Term <= s.Term {
			return s, nil
		}
		if !g.Clock.Now().Before(deadline) {
			return nil, result.New(result.TokenUnreachable, "term %d is not known", t.Term).WithRetryAfter(retryAfterFailover)
		}
		if err := g.pause(ctx); err != nil {
			return nil, result.New(result.TokenUnreachable, "term %d is not known", t.Term).WithCause(err)
		}
	}
}

// endOfLog returns the highest position that any member of the term reported.
func endOfLog(s *group.Snapshot) logpos.Position {
	end := s.TermStart
	for _, m := range s.Members {
		if m.Status.Attached == s.Term {
			end = max(end, m.Status.Last.Position)
		}
	}
	return end
}

func (g *Group) pickReplica(n need, exclude map[string]bool) (group.MemberView, bool) {
	r := routing.Read{
		Required:      n.position,
		FailureDomain: g.FailureDomain,
		Exclude:       exclude,
		Load:          g.running.at,
	}
	if n.maxAge > 0 {
		r.NotBefore = g.Clock.Now().Add(-n.maxAge)
	}
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return routing.Replica(g.Tracker.Snapshot(), r, g.Random)
}

func (g *Group) readAtPrimary(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, error) {
	release, err := g.enter(ctx, p, false)
	if err != nil {
		return nil, err
	}
	return g.atPrimary(ctx, u, p, partial, release)
}

// atReplica runs the read at one replica. The second value says that a piece of
// the answer has gone out, after which the read cannot be sent elsewhere.
func (g *Group) atReplica(ctx context.Context, u *execution.Unit, p plan, m group.MemberView, n need, partial func([]byte) error) (*execution.Reply, bool, error) {
	release, err := g.enter(ctx, p, false)
	if err != nil {
		return nil, false, err
	}
	defer release()
	c, err := g.Pool.Acquire(ctx, m.Address)
	if err != nil {
		g.reportRefused(m.Address, err)
		return nil, false, err
	}
	x := newExchange(c, u, p.limits.AnswerBuffer, partial)
	if err := g.converse(ctx, u, p, x, []part{unitPart(u)}); err != nil {
		g.Pool.Release(c)
		g.reportBroken(c, err)
		return nil, x.answer.streamed, unknown(ctx, err)
	}
	if x.final != statusIdle {
		u.Token = n.token
		return g.openTransaction(u, x, true, ""), false, nil
	}
	g.Pool.Release(c)
	return g.reply(n.token, x, true), false, nil
}

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
	deadline, _ := ctx.Deadline()
	failed := retry.Attempt{Number: attempt, Reason: reason, RetryAfter: e.RetryAfter, Deadline: deadline}
	return g.Budget.Wait(ctx, failed) == nil
}

// retryReasons are the codes after which a read may go to another member.
var retryReasons = map[result.Code]retry.Reason{
	result.ConnectionLost:      retry.ConnectionLost,
	result.StatementTimeout:    retry.Silent,
	result.UpstreamUnreachable: retry.Unreachable,
	result.TooManyConnections:  retry.Full,
}
