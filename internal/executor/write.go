package executor

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/upstream"
)

// write runs a unit at the primary, once. It is sent again only where it was
// proved not to have run.
func (g *Group) write(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, error) {
	for attempt := 1; ; attempt++ {
		reply, err := g.writeOnce(ctx, u, p, partial)
		if err == nil {
			return reply, nil
		}
		if g.mayResend(ctx, p, err, attempt) {
			continue
		}
		if p.keyed(u) {
			err = g.settle(ctx, u.Key, err)
		}
		return nil, err
	}
}

func (g *Group) writeOnce(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, error) {
	release, err := g.enter(ctx, p, false)
	if err != nil {
		return nil, err
	}
	return g.atPrimary(ctx, u, p, partial, release)
}

// lostProbes is how many probes in a row must have failed for units not to be
// sent to a primary: as many as a failover needs.
const lostProbes = 3

// writablePrimary returns the primary if a write to it can be confirmed. A
// refusal before sending is worth more to a caller than an unknown outcome.
func (g *Group) writablePrimary() (*group.Snapshot, error) {
	s, err := g.findWritable()
	g.standby.found(g.lostSince(), err == nil)
	return s, err
}

// lostSince returns since when the known primary has failed, or now.
func (g *Group) lostSince() time.Time {
	s := g.Tracker.Snapshot()
	if m, known := s.Find(s.Primary); known && !m.Failing.IsZero() {
		return m.Failing
	}
	return g.Clock.Now()
}

func (g *Group) findWritable() (*group.Snapshot, error) {
	s := g.Tracker.Snapshot()
	m, known := s.Find(s.Primary)
	if !known || m.Failures >= lostProbes {
		return nil, result.New(result.NoPrimary, "group %s", g.Group).WithRetryAfter(retryAfterFailover)
	}
	if !g.confirmable(s) {
		return nil, result.New(result.NoConfirmingReplica, "group %s", g.Group).WithRetryAfter(retryAfterFailover)
	}
	return s, nil
}

// confirmable reports whether replicas have answered lately, and get on: where
// none has for as long as a confirmation may take, none will in that time.
func (g *Group) confirmable(s *group.Snapshot) bool {
	now := g.Clock.Now()
	stalled := !s.StalledSince.IsZero() && now.Sub(s.StalledSince) > g.Service().Limits.ConfirmTimeout
	return now.Sub(s.ConfirmedAt) <= confirmationAge && !stalled
}

// atPrimary sends the unit to the primary and confirms it. It calls release
// when the member has finished: confirmation needs no slot.
func (g *Group) atPrimary(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error, release func()) (*execution.Reply, error) {
	s, err := g.writablePrimary()
	if err != nil {
		release()
		return nil, err
	}
	c, err := g.Pool.Acquire(ctx, s.Primary)
	if err != nil {
		release()
		g.reportRefused(s.Primary, err)
		return nil, err
	}
	x := newExchange(c, u, p.limits.AnswerBuffer, partial)
	x.term = s.Term
	x.keyed = p.keyed(u)
	err = g.converse(ctx, u, p, x, primaryParts(u, p))
	release()
	if err != nil {
		g.Pool.Release(c)
		g.reportBroken(c, err)
		return nil, unknown(ctx, err)
	}
	return g.concludeAtPrimary(ctx, u, p, x)
}

// converse runs the unit's exchange within the statement's time, behind the
// definitions of statements that the connection lacks.
func (g *Group) converse(ctx context.Context, u *execution.Unit, p plan, x *exchange, parts []part) error {
	if err := x.conn.SetDeadline(g.statementDeadline(ctx, p, x.keyed)); err != nil {
		return err
	}
	if prepare, names, ok := preparePart(x.conn, u); ok {
		x.prepared = names
		parts = append([]part{prepare}, parts...)
	}
	g.running.start(u.ID, x.conn)
	err := x.run(parts)
	g.running.stop(u.ID, x.conn)
	return err
}

// primaryParts lists what is sent to the primary for a unit outside of a
// transaction.
func primaryParts(u *execution.Unit, p plan) []part {
	unit := unitPart(u)
	switch {
	case p.keyed(u) && u.Begins:
		return []part{unit, keyPart(u)}
	case p.keyed(u):
		return []part{queryPart(partBegin, "BEGIN"), keyPart(u), unit, queryPart(partCommit, "COMMIT"), statusPart()}
	case u.Begins:
		return []part{unit}
	default:
		return []part{unit, statusPart()}
	}
}

// concludeAtPrimary turns the finished exchange into a reply: an open
// transaction, or a confirmed outcome.
func (g *Group) concludeAtPrimary(ctx context.Context, u *execution.Unit, p plan, x *exchange) (*execution.Reply, error) {
	if x.keyFailure != nil {
		return nil, g.keyRefused(ctx, u, x)
	}
	if x.final != statusIdle {
		return g.openTransaction(u, x, false, p.keyOf(u)), nil
	}
	if err := g.ensureReport(x); err != nil {
		g.Pool.Release(x.conn)
		return nil, unknown(ctx, err)
	}
	g.Pool.Release(x.conn)
	if refusedAsReadOnly(x.answer) {
		return nil, result.New(result.NoPrimary, "member %s no longer leads", x.conn.Address()).WithRetryAfter(retryAfterFailover)
	}
	if x.answer.failure != nil && x.answer.completed == 0 || onlyPrepares(u) && u.Token.Term <= x.term {
		// Nothing took effect, so there is nothing to confirm.
		return g.reply(u.Token, x, false), nil
	}
	mark, err := g.confirm(ctx, p, x)
	if err != nil {
		return nil, err
	}
	return g.reply(g.token(mark), x, false), nil
}

// ensureReport asks for the member's report when it was not pipelined.
func (g *Group) ensureReport(x *exchange) error {
	if x.status != nil {
		return nil
	}
	final := x.final
	err := x.run([]part{statusPart()})
	x.final = final
	return err
}

// confirm waits until the group confirms what the primary reported behind the
// unit. The check comes after the answer, so that an instance that was frozen
// between sending and here cannot pass on the answer of a replaced primary.
//
// The report must be of the term that the member led in before anything was
// sent. Between the commit and the report behind it a member may be fenced, drop
// the commit with its tail, and lead again; positions of that later term would
// confirm a write that is gone.
func (g *Group) confirm(ctx context.Context, p plan, x *exchange) (logpos.Mark, error) {
	s := x.status
	if s == nil || s.Role != member.RolePrimary || s.Entered != x.term || s.Last.Term != x.term {
		return logpos.Mark{}, result.New(result.PrimaryReplaced, "the member no longer leads")
	}
	ctx, cancel := context.WithDeadline(ctx, g.confirmDeadline(ctx, p))
	defer cancel()
	mark := logpos.Mark{Term: s.Entered, Position: s.Last.Position}
	if err := g.Tracker.Confirm(ctx, mark); err != nil {
		return logpos.Mark{}, err
	}
	return mark, nil
}

func (g *Group) token(m logpos.Mark) logpos.Token { return logpos.Token{Group: g.Group, Mark: m} }

// reportRefused tells the tracker of a member that could not be reached. A share
// that is in use says nothing of the member; to probe it on a new connection for
// each such refusal would add to the load that caused them.
func (g *Group) reportRefused(address string, err error) {
	if e, ok := result.As(err); ok && e.Code == result.UpstreamUnreachable {
		g.Tracker.ReportFailure(address)
	}
}

// reportBroken tells the pool and the tracker of a connection that went silent
// or broke.
func (g *Group) reportBroken(c *upstream.Conn, err error) {
	if isTimeout(err) {
		g.Pool.Suspect(c.Address(), c.Opened())
		g.Pool.ProbeIdle(g.Clock.Now().Add(-silenceWindow))
	}
	g.Tracker.ReportFailure(c.Address())
}

// readOnlyTransaction is the SQLSTATE of a member that takes no writes.
const readOnlyTransaction = "25006"

// refusedAsReadOnly reports that the member took the unit for a write and does
// not lead any more. The unit was one implicit transaction, so nothing of it ran.
func refusedAsReadOnly(a *answer) bool {
	return a.failure != nil && a.failure.Code == readOnlyTransaction && a.completed == 0
}
