package executor

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/consistency"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/routing"
)

// readMargin is subtracted from the maximum age that a read accepts: it covers the time from
// computing the requirement to sending the read's first byte, on a machine with some scheduling
// delay.
const readMargin = 50 * time.Millisecond

// readRequirement is what a read must see.
type readRequirement struct {
	position logpos.Position
	maxAge   time.Duration
	// mark is position with its term, for members that check it themselves.
	mark logpos.TermPosition
	// token is the session's token after the read.
	token logpos.Token
	// repeatable means that the read may be sent to another member before the first has answered.
	repeatable bool
}

// requirementFor computes what the read must see. If members do not check positions, a fresh read
// and the first read of a session that came without a token take a barrier.
func (g *Group) requirementFor(ctx context.Context, u *execution.Unit, p plan) (readRequirement, error) {
	if g.Wire.ChecksPosition {
		return g.checkedRequirement(ctx, u, p)
	}
	if positionUnknown(u) || p.consistency.SeesAll() {
		return g.barrierRequirement(ctx, u, p)
	}
	s, err := g.snapshotForToken(ctx, u.Token)
	if err != nil {
		return readRequirement{}, err
	}
	position, _ := routing.RequiredPosition(s, u.Token)
	if position > highestReportedPosition(s) {
		// The token may be forged, or reports may be delayed; the barrier decides.
		return g.barrierRequirement(ctx, u, p)
	}
	return readRequirement{position: position, maxAge: p.consistency.MaxAge(), token: u.Token}, nil
}

// checkedRequirement computes the position to send with a read to a member that refuses the read
// if its log lacks the position. For a read within a maximum age this is the oldest proved mark that is
// recent enough, because a lagging replica is most likely to contain it.
func (g *Group) checkedRequirement(ctx context.Context, u *execution.Unit, p plan) (readRequirement, error) {
	if positionUnknown(u) {
		// The session may have written at any position up to the newest one.
		mark, err := g.fetchFloor(ctx, p)
		return readRequirement{position: mark.Position, mark: mark, token: g.newToken(mark)}, err
	}
	mark, ok := g.provenMark(p.consistency)
	if !ok {
		var err error
		if mark, err = g.fetchFloor(ctx, p); err != nil {
			return readRequirement{}, err
		}
		// The fetch may also have proved a lower mark that is recent enough.
		if older, ok := g.provenMark(p.consistency); ok {
			mark = older
		}
	}
	if mark.Less(u.Token.TermPosition) {
		mark = u.Token.TermPosition
	}
	return readRequirement{position: mark.Position, mark: mark, token: u.Token}, nil
}

// positionUnknown reports whether the unit's session may have written at a position that the unit
// does not name.
func positionUnknown(u *execution.Unit) bool { return u.Roaming && u.Token.IsZero() }

// provenMark returns the oldest proved mark that a read sent now may require; none for reads that see
// all acknowledged writes, because a mark covers only those acknowledged before it was proved.
func (g *Group) provenMark(l consistency.Level) (logpos.TermPosition, bool) {
	if l.SeesAll() {
		return logpos.TermPosition{}, false
	}
	return g.Tracker.ProvenPosition(g.Clock.Now().Add(readMargin - l.MaxAge()))
}

// refreshRequirement computes the requirement again just before the read is sent, because the
// maximum age counts from then. The requirement stays unchanged in two cases: if members do not
// check positions, because the age of each replica is proved separately; and for a read that sees all
// acknowledged writes and one of a session whose position is not known, because their requirements
// count from their arrival.
func (g *Group) refreshRequirement(ctx context.Context, u *execution.Unit, p plan, req readRequirement) (readRequirement, error) {
	if !g.Wire.ChecksPosition || p.consistency.SeesAll() || positionUnknown(u) {
		return req, nil
	}
	return g.checkedRequirement(ctx, u, p)
}

func (g *Group) barrierRequirement(ctx context.Context, u *execution.Unit, p plan) (readRequirement, error) {
	if _, err := g.snapshotForToken(ctx, u.Token); err != nil {
		return readRequirement{}, err
	}
	if err := g.awaitBarrierAvailable(ctx, p); err != nil {
		return readRequirement{}, err
	}
	confirmCtx, cancel := context.WithDeadline(ctx, g.confirmDeadline(ctx, p))
	defer cancel()
	mark, err := g.Tracker.Barrier(confirmCtx)
	if err != nil {
		return readRequirement{}, g.barrierError(err)
	}
	if u.Token.Term == mark.Term && u.Token.Position > mark.Position {
		return readRequirement{}, result.New(result.TokenUnreachable, "token %s, log ends at %d", u.Token, mark.Position)
	}
	return readRequirement{position: mark.Position, token: g.newToken(mark)}, nil
}

// fetchFloor has the tracker determine a position that covers all writes acknowledged before the
// call.
func (g *Group) fetchFloor(ctx context.Context, p plan) (logpos.TermPosition, error) {
	if !g.Tracker.Snapshot().QuorumReachable() {
		if err := g.awaitBarrierAvailable(ctx, p); err != nil {
			return logpos.TermPosition{}, err
		}
	}
	confirmCtx, cancel := context.WithDeadline(ctx, g.confirmDeadline(ctx, p))
	defer cancel()
	mark, err := g.Tracker.FetchFloor(confirmCtx)
	if err != nil {
		return logpos.TermPosition{}, g.barrierError(err)
	}
	return mark, nil
}

// awaitBarrierAvailable waits until the group has a primary for which replicas would confirm a
// barrier. It fails immediately if the group has been without one for longer than a failover takes,
// as in an isolated failure domain, and otherwise when that time has passed.
func (g *Group) awaitBarrierAvailable(ctx context.Context, p plan) error {
	_, err := g.writablePrimary()
	if err == nil || g.awaitPrimary(ctx, p) {
		return nil
	}
	return g.barrierError(err)
}

// barrierError returns the error of a read that was not sent because the barrier failed.
func (g *Group) barrierError(err error) error {
	return result.New(result.NoFreshReplica, "no barrier").WithCause(err).WithRetryAfter(retryAfterFailover)
}

// snapshotForToken waits up to tokenWait for a snapshot that has reached the token's term.
func (g *Group) snapshotForToken(ctx context.Context, t logpos.Token) (*group.Snapshot, error) {
	deadline := earlierDeadline(ctx, g.Clock.Now().Add(tokenWait))
	for {
		s := g.Tracker.Snapshot()
		if t.Term <= s.Term {
			return s, nil
		}
		if !g.Clock.Now().Before(deadline) {
			return nil, result.New(result.TokenUnreachable, "term %d is not known", t.Term).WithRetryAfter(retryAfterFailover)
		}
		if err := g.sleepPollInterval(ctx); err != nil {
			return nil, result.New(result.TokenUnreachable, "term %d is not known", t.Term).WithCause(err)
		}
	}
}

// highestReportedPosition returns the highest position that any member attached to the term has
// reported.
func highestReportedPosition(s *group.Snapshot) logpos.Position {
	end := s.TermStart
	for _, m := range s.Members {
		if m.Status.AttachedTerm == s.Term {
			end = max(end, m.Status.LastRecord.Position)
		}
	}
	return end
}
