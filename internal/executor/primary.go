package executor

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

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

// findWritable returns the present snapshot, with an error unless a write to its primary
// can be confirmed.
func (g *Group) findWritable() (*group.Snapshot, error) {
	s := g.Tracker.Snapshot()
	m, known := s.Find(s.Primary)
	if !known || m.Failures >= lostProbes {
		return s, result.New(result.NoPrimary, "group %s", g.Group).WithRetryAfter(retryAfterFailover)
	}
	if !g.confirmable(s) {
		return s, result.New(result.NoConfirmingReplica, "group %s", g.Group).WithRetryAfter(retryAfterFailover)
	}
	return s, nil
}

// confirmable reports whether replicas have answered lately, and get on: where
// none has for as long as a confirmation may take, none will in that time.
func (g *Group) confirmable(s *group.Snapshot) bool {
	now := g.Clock.Now()
	stalled := !s.StalledSince.IsZero() && now.Sub(s.StalledSince) > g.Service().Limits.ConfirmTimeout
	return now.Sub(s.ConfirmedAt) <= g.confirmationAge() && !stalled
}

// confirmationAge is how old the newest report of an attached replica may be for
// a write to be sent. A primary that no replica follows cannot have its writes
// confirmed, so sending one would only make an unknown outcome.
func (g *Group) confirmationAge() time.Duration {
	if g.ConfirmationAge > 0 {
		return g.ConfirmationAge
	}
	return defaultConfirmationAge
}

// defaultConfirmationAge is ten times the time between two polls of a replica.
const defaultConfirmationAge = time.Second

// atPrimary sends the unit to the primary and confirms it. The slot is given back
// when the member has finished: confirmation needs none.
func (g *Group) atPrimary(ctx context.Context, u *execution.Unit, p plan, partial func([]byte) error) (*execution.Reply, error) {
	s, err := g.writablePrimary()
	if err != nil {
		return nil, err
	}
	slot, err := g.enter(ctx, p, s.Primary)
	if err != nil {
		return nil, err
	}
	// The wait may have outlived the primary.
	if s, err = g.writablePrimary(); err != nil {
		slot.Release()
		return nil, err
	}
	c, err := g.Pool.Acquire(ctx, s.Primary)
	if err != nil {
		slot.Release()
		g.reportRefused(s.Primary, err)
		return nil, err
	}
	x := newExchange(c, u, p, partial)
	x.term = s.Term
	x.keyed = p.keyed(u)
	if err := g.proveReads(ctx, u, p, x); err != nil {
		slot.Release()
		g.Pool.Release(c)
		return nil, err
	}
	err = g.converse(ctx, p, x, g.primarySteps(u, p)...)
	slot.Answered()
	if err != nil || x.Final == wire.Idle || !g.Wire.SlotIsConnection {
		slot.Release()
		slot = nil
	}
	if err != nil {
		x.verification.Drop()
		g.Pool.Release(c)
		g.reportBroken(c, err)
		return nil, unknown(ctx, err)
	}
	return g.concludeAtPrimary(ctx, u, p, x, slot)
}

// proveReads sees to what reads at the primary need, those of a transaction that
// the unit opens included: a fresh one, a proof that the primary was not replaced
// when it began; an aged one, the position that the log must hold.
func (g *Group) proveReads(ctx context.Context, u *execution.Unit, p plan, x *exchange) error {
	if !g.Wire.ChecksPosition || !u.ReadOnly && !u.Begins {
		return nil
	}
	if p.fresh {
		v, err := g.Tracker.Verify()
		x.verification = v
		return err
	}
	n, err := g.needChecked(ctx, u, p)
	x.Required = n.mark
	return err
}

// primarySteps lists what is sent to the primary for a unit outside of a
// transaction.
func (g *Group) primarySteps(u *execution.Unit, p plan) []wire.Step {
	unit, report := wire.Step{Kind: wire.StepUnit}, wire.Step{Kind: wire.StepReport}
	storeKey := wire.Step{Kind: wire.StepStoreKey, Key: u.Key, Outcome: wire.KeyRan}
	switch {
	case p.keyed(u) && u.Begins:
		return []wire.Step{unit, storeKey}
	case p.keyed(u):
		return []wire.Step{{Kind: wire.StepBegin}, storeKey, unit, {Kind: wire.StepCommit}, report}
	case g.Wire.ChecksPosition && p.fresh && u.OnlyReads():
		// Only the report tells whether the member led; a replica reads as well.
		return []wire.Step{report, unit}
	case u.Begins, g.Wire.TellsLog:
		return []wire.Step{unit}
	default:
		return []wire.Step{unit, report}
	}
}

// concludeAtPrimary turns the finished exchange into a reply: an open
// transaction, or a confirmed outcome. slot is what an open transaction keeps; it is
// nil where the slot was given back.
func (g *Group) concludeAtPrimary(ctx context.Context, u *execution.Unit, p plan, x *exchange, slot *admission.Slot) (*execution.Reply, error) {
	if x.KeyFailure != nil {
		return nil, g.keyRefused(ctx, u, x)
	}
	if err := g.refusedAtPrimary(p, x); err != nil {
		x.verification.Drop()
		g.giveBack(x)
		freeSlot(slot)
		return nil, err
	}
	if x.Final != wire.Idle {
		return g.beginAtPrimary(ctx, u, p, x, slot)
	}
	if x.verification != nil {
		return g.concludeFresh(ctx, u, p, x)
	}
	if err := g.ensureReport(x); err != nil {
		g.Pool.Release(x.conn)
		return nil, unknown(ctx, err)
	}
	g.Pool.Release(x.conn)
	if x.Failure != nil && x.Completed == 0 || u.ReadOnly || onlyPrepares(u) && u.Token.Term <= x.term {
		// Nothing took effect, so there is nothing to confirm.
		return g.reply(u.Token, x, false), nil
	}
	mark, err := g.confirm(ctx, p, x)
	if err != nil {
		return nil, err
	}
	return g.reply(g.token(mark), x, false), nil
}

// refusedAtPrimary returns the error of a unit that the member did not take, so
// that it may be sent again. Nothing of it ran.
func (g *Group) refusedAtPrimary(p plan, x *exchange) error {
	if x.Failure == nil || x.Completed > 0 {
		return nil
	}
	if x.Failure.Kind == wire.FailureReadOnly {
		g.Tracker.Recheck(x.conn.Address())
		return result.New(result.NoPrimary, "member %s no longer leads", x.conn.Address()).WithRetryAfter(retryAfterFailover)
	}
	if x.Failure.Kind == wire.FailureRan && !p.read {
		return nil
	}
	return g.refusedByMember(x)
}

// beginAtPrimary keeps the transaction that the unit opened. The answer to a
// fresh read in it waits for the proof.
func (g *Group) beginAtPrimary(ctx context.Context, u *execution.Unit, p plan, x *exchange, slot *admission.Slot) (*execution.Reply, error) {
	if x.verification != nil && u.ReadOnly {
		if err := g.verified(ctx, p, x); err != nil {
			g.giveBack(x)
			freeSlot(slot)
			return nil, err
		}
	}
	return g.openTransaction(u, x, false, p.keyOf(u), slot), nil
}

// freeSlot gives back a slot that is still held.
func freeSlot(slot *admission.Slot) {
	if slot != nil {
		slot.Release()
	}
}

// concludeFresh answers a read that had to be fresh.
func (g *Group) concludeFresh(ctx context.Context, u *execution.Unit, p plan, x *exchange) (*execution.Reply, error) {
	g.Pool.Release(x.conn)
	if !u.ReadOnly {
		x.verification.Drop()
		return g.reply(u.Token, x, false), nil
	}
	if err := g.verified(ctx, p, x); err != nil {
		return nil, err
	}
	return g.reply(u.Token, x, false), nil
}

// verified waits for the proof that the member was the primary, and had not been
// replaced, when the read began: the member showed that it leads, and a replica
// that was asked since was not fenced. A promotion fences a majority first, so
// that one of the two would have shown it.
func (g *Group) verified(ctx context.Context, p plan, x *exchange) error {
	if !showsLead(x) {
		x.verification.Drop()
		g.Tracker.Recheck(x.conn.Address())
		return result.New(result.NoPrimary, "member %s no longer leads", x.conn.Address()).WithRetryAfter(retryAfterFailover)
	}
	bounded, cancel := context.WithDeadline(ctx, g.confirmDeadline(ctx, p))
	defer cancel()
	if err := x.verification.Wait(bounded); err != nil {
		return result.New(result.NoConfirmingReplica, "the read could not be proved fresh").WithCause(err).WithRetryAfter(retryAfterFailover)
	}
	return nil
}

// showsLead reports whether the member led: by its report, or by taking a
// transaction that may write, which no replica does.
func showsLead(x *exchange) bool {
	if x.Unit.Begins && !x.Unit.ReadTransaction {
		return true
	}
	s := x.Report
	return s != nil && s.Role == member.RolePrimary && s.Entered == x.verification.Term
}

// ensureReport asks for the member's report when it was not pipelined and the
// answer did not tell the member's log.
func (g *Group) ensureReport(x *exchange) error {
	if x.Report != nil || x.Log != (logpos.Mark{}) {
		return nil
	}
	return g.askReport(x)
}

// askReport asks for the member's report behind an exchange.
func (g *Group) askReport(x *exchange) error {
	ask := wire.Exchange{Unit: emptyUnit, Steps: []wire.Step{{Kind: wire.StepReport}}}
	err := x.conn.Run(&ask)
	x.Report = ask.Report
	return err
}
