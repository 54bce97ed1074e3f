package executor

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

// exchange is one request to a member, with its answer and the state that is needed to complete the
// unit.
type exchange struct {
	wire.Exchange
	conn wire.Conn
	// term is the term in which the member was primary when the exchange began.
	term logpos.Term
	// keyed means that an unknown outcome can be resolved by a request key, for which part of
	// the time is reserved.
	keyed bool
	// ticket was issued before anything was sent; it orders what the answer shows of the member's
	// log among other observations.
	ticket group.Ticket
	// verification proves that the primary had not been replaced when a fresh read began; nil
	// if no proof is needed.
	verification *group.Verification
	// endedEarly means that the exchange was ended before its deadline because the member had
	// gone silent.
	endedEarly bool
}

func newExchange(c wire.Conn, u *execution.Unit, p plan, partial func([]byte) error) *exchange {
	return &exchange{
		conn:     c,
		Exchange: wire.Exchange{Unit: u, ResponseBuffer: p.limits.AnswerBuffer, Partial: partial},
	}
}

// refused reports whether the member answered without executing the unit.
func (x *exchange) refused() bool {
	if x.Failure == nil || x.Completed > 0 {
		return false
	}
	switch x.Failure.Kind {
	case wire.FailureLagging, wire.FailureBusy, wire.FailureReadOnly:
		return true
	default:
		return false
	}
}

// runExchange runs the exchange with the statement's deadline and registers it as running.
func (g *Group) runExchange(ctx context.Context, p plan, x *exchange, steps ...wire.Step) error {
	if err := x.conn.SetDeadline(g.statementDeadline(ctx, p, x.keyed)); err != nil {
		return err
	}
	if !execution.DepartureOf(ctx).Hold(execution.StageRunning) {
		return execution.ErrCallerLeft
	}
	x.Steps = steps
	x.ticket = g.Tracker.NewTicket()
	if !g.runningUnits.addUnit(x.Unit.ID, x.conn, g.Clock.Now()) {
		return result.New(result.Draining, "units are ended").WithRetryAfter(retryAfterBusy)
	}
	statement := g.beginStatement(p, x)
	err := x.conn.Run(&x.Exchange)
	x.endedEarly = g.runningUnits.endedEarly(x.Unit.ID)
	g.runningUnits.removeUnit(x.Unit.ID, x.conn, g.Clock.Now(), err == nil)
	g.recordOutcome(statement, x, err)
	if err == nil && x.LogPosition != (logpos.TermPosition{}) {
		g.Tracker.RecordAnswer(x.conn.Address(), x.ticket, group.StatementObservation{LogEnd: x.LogPosition, Committed: x.Committed})
	}
	return err
}

// unknownOutcomeError returns the error of a unit that was sent and whose outcome is not known. The
// error of a unit that was not sent is returned unchanged.
func unknownOutcomeError(ctx context.Context, cause error) *result.Error {
	if e, ok := result.As(cause); ok {
		return e
	}
	if ctx.Err() != nil || isTimeout(cause) {
		return result.New(result.StatementTimeout, "no whole answer in time").WithCause(cause)
	}
	return result.New(result.ConnectionLost, "after the request was sent").WithCause(cause)
}

// reportUnreachable reports a member that could not be reached to the tracker. An exhausted
// connection share says nothing about the member, and probing the member on a new connection after
// each such refusal would add to the load that caused the refusals.
func (g *Group) reportUnreachable(address string, err error) {
	if e, ok := result.As(err); ok && e.Code == result.UpstreamUnreachable {
		g.Tracker.ReportFailure(address)
	}
}

// reportBrokenConn reports a connection that failed during an exchange to the tracker and, if it
// timed out, to the pool, which then also probes idle connections that were not used recently. It
// does nothing if the unit was not sent, or if it was ended early: that says nothing about other
// connections.
func (g *Group) reportBrokenConn(x *exchange, err error) {
	if _, ok := result.As(err); ok || x.endedEarly {
		return
	}
	if isTimeout(err) {
		g.Pool.MarkSuspect(x.conn.Address(), x.conn.Opened())
		g.Pool.ProbeIdle(g.Clock.Now().Add(-recentUseWindow))
	}
	g.Tracker.ReportFailure(x.conn.Address())
}

// earlierDeadline returns the earlier of t and ctx's deadline.
func earlierDeadline(ctx context.Context, t time.Time) time.Time {
	if d, ok := ctx.Deadline(); ok && d.Before(t) {
		return d
	}
	return t
}
