package group

import (
	"context"
	"errors"
	"time"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// poller queries one member, one query at a time, on one kept connection.
//
// A query that fails or times out closes the connection, and the next query opens a new
// one: an open connection may stay silent forever while new connections work. Only
// failures on new connections make the member a suspect.
type poller struct {
	w      *Watcher
	index  int
	dialer member.Dialer
	wakeup chan struct{}
	// control is the kept connection, responseTimes determines the query timeouts, and
	// silentSince is when the last unanswered query on a closed connection was sent. Only
	// run's goroutine uses control and silentSince; Watcher.mu guards responseTimes.
	control       member.Control
	responseTimes responseTimes
	silentSince   time.Time

	// view and the fields below are guarded by Watcher.mu.
	view MemberView
	// newestTicket is the ticket number of the report in view.
	newestTicket uint64
	// queriedAt is when the last query was sent, and answeredStatementAt is when the last
	// statement that the member answered was sent. waitEndedEarly is set if the last wait
	// for a position returned early without reaching it, and misses counts consecutive
	// answers that did not reach a position that a waiter needs. connected is set if the
	// last query was answered.
	queriedAt           time.Time
	answeredStatementAt time.Time
	waitEndedEarly      bool
	misses              int
	connected           bool
	// busy is set if the last probe found the member overloaded, and busySince is when the
	// current run of such probes began.
	busy      bool
	busySince time.Time
	// attachedAt is when the newest report as an attached replica was requested.
	attachedAt time.Time
	// highestPosition is the replica's highest position in the term, and stalledAt is when
	// it stopped growing although the primary is ahead.
	highestPosition logpos.Position
	stalledAt       time.Time
	// ledTerm is the highest term in which the member was seen as primary.
	ledTerm logpos.Term
	// freshPosition is the position that proved view.FreshAsOf.
	freshPosition logpos.Position
	// reconnectRequested is set if the next query must open a new connection, and
	// reconnectRequestedAt is when it was last set. cancelQuery cancels the query in flight.
	reconnectRequested   bool
	reconnectRequestedAt time.Time
	cancelQuery          context.CancelFunc
	// stop ends run; nil before run was started.
	stop context.CancelFunc
}

func newPoller(w *Watcher, index int, m document.Member, d member.Dialer) *poller {
	return &poller{
		w:      w,
		index:  index,
		dialer: d,
		wakeup: make(chan struct{}, 1),
		view:   MemberView{Address: m.Address, FailureDomain: m.FailureDomain},
	}
}

// wake makes run recompute the next query.
func (p *poller) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// run polls the member until ctx ends.
func (p *poller) run(ctx context.Context) {
	defer p.disconnect()
	for ctx.Err() == nil {
		if p.clearReconnectRequest() {
			p.disconnect()
		}
		q := p.nextQuery()
		if q.delay > 0 {
			p.sleep(ctx, q.delay)
			continue
		}
		p.runQuery(ctx, q)
	}
}

// runQuery sends one query and records its result.
func (p *poller) runQuery(ctx context.Context, q query) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	newConnection := p.control == nil
	t := p.beginQuery(cancel, newConnection)
	ctx, stop := p.withTimeout(ctx, t, q.timeout)
	defer stop()
	s, err := p.sendQuery(ctx, q)
	p.finishQuery(t, q, s, err)
	p.detectSilentConnection(t, newConnection, err)
	switch {
	case err == nil:
		if !q.wait {
			p.recordResponseTime(p.w.clock.Now().Sub(t.at))
		}
		p.w.RecordReport(p.view.Address, t, s)
		if s.Connections != 0 {
			p.w.onConnections(p.view.Address, s.Connections)
		}
	case errors.Is(err, errConnectionLate):
		// The connection is usable; the next query is sent on it.
		p.recordBusy()
	case errors.Is(err, member.ErrTooManyConnections) && !p.busyTooLong():
		// The member refused the query because it is overloaded, so it is alive.
		p.disconnect()
		p.recordBusy()
	default:
		p.disconnect()
		if newConnection {
			p.recordFailure(t, err)
		}
	}
}

// withTimeout cancels a query once its timeout has passed and the member has answered
// nothing else in the meantime. A member that answers statements is busy and not lost;
// reconnecting would cost a new connection, which waits in the same queue.
func (p *poller) withTimeout(ctx context.Context, t Ticket, timeout time.Duration) (context.Context, context.CancelFunc) {
	if p.w.intervals.HedgeDelay == 0 {
		return context.WithTimeout(ctx, timeout)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	deadline := t.at.Add(busyFactor * timeout)
	var expire func()
	expire = func() {
		now := p.w.clock.Now()
		if p.answeredSince(now.Add(-timeout)) && now.Before(deadline) && ctx.Err() == nil {
			p.w.clock.AfterFunc(timeout, expire)
			return
		}
		cancel(context.DeadlineExceeded)
	}
	timer := p.w.clock.AfterFunc(timeout, expire)
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// busyFactor is the maximum duration of a query to a busy member, as a multiple of its
// timeout.
const busyFactor = 20

func (p *poller) answeredSince(since time.Time) bool {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return p.answeredStatementAt.After(since)
}

// detectSilentConnection calls onSilence if a kept connection never answered while a new
// one does: a component between the two ends has lost its state of open connections.
func (p *poller) detectSilentConnection(t Ticket, newConnection bool, err error) {
	switch {
	case !newConnection && err != nil:
		p.silentSince = t.at
	case newConnection && err == nil && !p.silentSince.IsZero():
		p.w.onSilence(p.silentSince)
		p.silentSince = time.Time{}
	}
}

// sendQuery connects if there is no connection, and sends the query.
func (p *poller) sendQuery(ctx context.Context, q query) (member.Status, error) {
	if p.control == nil {
		c, err := p.dialer.DialControl(ctx, p.view.Address)
		if err != nil {
			return member.Status{}, err
		}
		p.control = c
		if ctx.Err() != nil {
			return member.Status{}, errConnectionLate
		}
	}
	if q.wait {
		return p.control.WaitPosition(ctx, q.position)
	}
	return p.control.Status(ctx)
}

func (p *poller) disconnect() {
	if p.control != nil {
		_ = p.control.Close()
		p.control = nil
	}
}

// sleep waits for d, a wakeup or the end of ctx.
func (p *poller) sleep(ctx context.Context, d time.Duration) {
	t := p.w.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-p.wakeup:
	case <-t.C:
	}
}

func (p *poller) clearReconnectRequest() bool {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	requested := p.reconnectRequested
	p.reconnectRequested = false
	return requested
}

// beginQuery takes the ticket of a query. Only a query on the kept connection can be
// cancelled; a query on a new connection is already the requested probe.
func (p *poller) beginQuery(cancel context.CancelFunc, newConnection bool) Ticket {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if !newConnection {
		p.cancelQuery = cancel
	}
	p.busy = false
	t := p.w.newTicket()
	p.queriedAt = t.at
	return t
}

// finishQuery records whether the answer came early without the position asked for.
func (p *poller) finishQuery(t Ticket, q query, s member.Status, err error) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.cancelQuery = nil
	early := p.w.clock.Now().Sub(t.at) < p.w.intervals.FastPoll
	missed := err == nil && early && s.LastRecord.Position < q.position
	p.waitEndedEarly = q.wait && missed
	p.connected = err == nil
	switch {
	case q.wanted && missed:
		p.misses++
	case err == nil:
		p.misses = 0
	}
}

// errConnectionLate is returned if a connection was established after the query's timeout.
var errConnectionLate = errors.New("connection was established after the query timed out")

// setStatus makes s the member's newest report.
func (p *poller) setStatus(t Ticket, s member.Status) {
	p.busySince = time.Time{}
	p.view.Status, p.view.ReportedAt = s, t.at
	if attached(s, p.w.term) {
		p.attachedAt = t.at
	}
	// A log shorter than the position that proved the member's freshness was truncated or
	// recreated; the proof was about records that no longer exist.
	if s.LastRecord.Position < p.freshPosition {
		p.view.FreshAsOf, p.freshPosition = time.Time{}, 0
	}
}
