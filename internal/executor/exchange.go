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

// exchange is one conversation with a member, and what the core has to know to
// conclude it.
type exchange struct {
	wire.Exchange
	conn wire.Conn
	// term is the one that the member led in when the exchange was begun.
	term logpos.Term
	// keyed says that the outcome can be settled by a request key, for which some
	// of the time is kept back.
	keyed bool
	// ticket was taken before anything was sent.
	ticket group.Ticket
	// verification proves that the primary was not replaced when a fresh read
	// began; nil where none is needed.
	verification *group.Verification
}

func newExchange(c wire.Conn, u *execution.Unit, p plan, partial func([]byte) error) *exchange {
	return &exchange{
		conn:     c,
		Exchange: wire.Exchange{Unit: u, AnswerBuffer: p.limits.AnswerBuffer, Partial: partial},
	}
}

// refused reports whether the member answered without working on the unit.
func (x *exchange) refused() bool {
	if x.Failure == nil || x.Completed > 0 {
		return false
	}
	switch x.Failure.Kind {
	case wire.FailureBehind, wire.FailureBusy, wire.FailureReadOnly:
		return true
	default:
		return false
	}
}

// converse runs the exchange within the statement's time.
func (g *Group) converse(ctx context.Context, p plan, x *exchange, steps ...wire.Step) error {
	if err := x.conn.SetDeadline(g.statementDeadline(ctx, p, x.keyed)); err != nil {
		return err
	}
	x.Steps = steps
	x.ticket = g.Tracker.Ask()
	if !g.running.start(x.Unit.ID, x.conn, g.Clock.Now()) {
		return result.New(result.Draining, "units are ended").WithRetryAfter(retryAfterBusy)
	}
	err := x.conn.Run(&x.Exchange)
	g.running.stop(x.Unit.ID, x.conn, g.Clock.Now(), err == nil)
	if err == nil && x.Log != (logpos.Mark{}) {
		g.Tracker.Observed(x.conn.Address(), x.ticket, group.Observation{Log: x.Log, Committed: x.Committed})
	}
	return err
}

// unknown returns the error of a unit that was sent and whose end is not known; one that was
// not sent keeps its own.
func unknown(ctx context.Context, cause error) *result.Error {
	if e, ok := result.As(cause); ok {
		return e
	}
	if ctx.Err() != nil || isTimeout(cause) {
		return result.New(result.StatementTimeout, "no whole answer in time").WithCause(cause)
	}
	return result.New(result.ConnectionLost, "after the request was sent").WithCause(cause)
}

// reportRefused tells the tracker of a member that could not be reached. A share
// that is in use says nothing of the member; to probe it on a new connection for
// each such refusal would add to the load that caused them.
func (g *Group) reportRefused(address string, err error) {
	if e, ok := result.As(err); ok && e.Code == result.UpstreamUnreachable {
		g.Tracker.ReportFailure(address)
	}
}

// reportBroken tells pool and tracker of a connection that failed in the middle. Of one that
// nothing was sent on there is nothing to tell.
func (g *Group) reportBroken(c wire.Conn, err error) {
	if _, ok := result.As(err); ok {
		return
	}
	if isTimeout(err) {
		g.Pool.Suspect(c.Address(), c.Opened())
		g.Pool.ProbeIdle(g.Clock.Now().Add(-silenceWindow))
	}
	g.Tracker.ReportFailure(c.Address())
}

// earlier returns the earlier of t and ctx's deadline.
func earlier(ctx context.Context, t time.Time) time.Time {
	if d, ok := ctx.Deadline(); ok && d.Before(t) {
		return d
	}
	return t
}
