package executor

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/routing"
)

// readMargin is kept between the age that a read accepts and the age of what it
// is sent with: the time from working that out to the read's first byte on the
// wire, on a machine that is a little late.
const readMargin = 50 * time.Millisecond

// need is what a read must see, worked out once.
type need struct {
	position logpos.Position
	maxAge   time.Duration
	// mark is position with its term, where members check it themselves.
	mark logpos.Mark
	// token is the session's token after the read.
	token logpos.Token
}

// need works out what the read must see. A read that must be fresh, and the
// first read of a session whose past is not known, take a barrier.
func (g *Group) need(ctx context.Context, u *execution.Unit, p plan) (need, error) {
	if g.Wire.ChecksPosition {
		return g.needChecked(ctx, u, p)
	}
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

// needChecked works out the position that the read is sent with to a member
// that refuses it if its log lacks the position. The oldest proved mark that is
// young enough is taken, because a replica that lags is the likeliest to hold it.
func (g *Group) needChecked(ctx context.Context, u *execution.Unit, p plan) (need, error) {
	mark, ok := g.proven(p)
	if !ok {
		var err error
		if mark, err = g.floor(ctx, p); err != nil {
			return need{}, err
		}
		// The question may have proved a lower mark as well.
		if older, ok := g.proven(p); ok {
			mark = older
		}
	}
	if mark.Less(u.Token.Mark) {
		mark = u.Token.Mark
	}
	return need{position: mark.Position, mark: mark, token: u.Token}, nil
}

func (g *Group) proven(p plan) (logpos.Mark, bool) {
	return g.Tracker.Proven(g.Clock.Now().Add(readMargin - p.maxAge))
}

// renew works out anew what a read must see, where that is held against the
// moment of sending and not against proofs of each replica's age, or against the
// moment at which a fresh read arrived.
func (g *Group) renew(ctx context.Context, u *execution.Unit, p plan, n need) (need, error) {
	if !g.Wire.ChecksPosition || p.fresh {
		return n, nil
	}
	return g.needChecked(ctx, u, p)
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

// floor asks for a position that covers all that was acknowledged before.
func (g *Group) floor(ctx context.Context, p plan) (logpos.Mark, error) {
	if !g.Tracker.Snapshot().MajorityAnswers() {
		if err := g.barrierPossible(ctx, p); err != nil {
			return logpos.Mark{}, err
		}
	}
	bounded, cancel := context.WithDeadline(ctx, g.confirmDeadline(ctx, p))
	defer cancel()
	mark, err := g.Tracker.Floor(bounded)
	if err != nil {
		return logpos.Mark{}, g.barrierFailed(err)
	}
	return mark, nil
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
