package group

import (
	"context"
	"errors"
	"time"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// follower asks one member, one question at a time, on one kept connection.
//
// A question that fails or is late ends the connection, and the next one goes
// out on a new connection: an open connection may be silent for good while new
// ones work. Only failures on new connections make a member suspect.
type follower struct {
	w      *Watcher
	index  int
	dialer member.Dialer
	kick   chan struct{}
	// control is the kept connection, pace bounds its questions, and silentSince
	// is when one was sent on an earlier connection that never answered; only
	// run's goroutine uses them.
	control     member.Control
	pace        pace
	silentSince time.Time

	// What follows is guarded by Watcher.mu.
	view MemberView
	// newest is the ticket number of the report that view shows.
	newest uint64
	// askedAt is when the last question was sent, observedAt when the last
	// statement was that the member answered. idle says that the last wait for a
	// position ended early without it, and misses how many answers in a row did
	// not bring what somebody waits for. connected says that the kept connection
	// answered last time.
	askedAt    time.Time
	observedAt time.Time
	idle       bool
	misses     int
	connected  bool
	// busy says that the last probe found the member full, and busySince since when
	// probes have.
	busy      bool
	busySince time.Time
	// attachedAt is when the newest report of an attached replica was asked for.
	attachedAt time.Time
	// reached is the replica's highest position in the term, and stalledAt since
	// when it has not grown although the primary is ahead.
	reached   logpos.Position
	stalledAt time.Time
	// led is the highest term in which the member was seen to lead.
	led logpos.Term
	// provenBy is the position that proved view.FreshAsOf.
	provenBy logpos.Position
	// doubted asks for a new connection, at doubtedAt for the last time;
	// interrupt ends the call in flight.
	doubted   bool
	doubtedAt time.Time
	interrupt context.CancelFunc
	// stop ends run; nil before it was started.
	stop context.CancelFunc
}

func newFollower(w *Watcher, index int, m document.Member, d member.Dialer) *follower {
	return &follower{
		w:      w,
		index:  index,
		dialer: d,
		kick:   make(chan struct{}, 1),
		view:   MemberView{Address: m.Address, FailureDomain: m.FailureDomain},
	}
}

// wake makes run look again at what is due.
func (f *follower) wake() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// run asks the member until ctx ends.
func (f *follower) run(ctx context.Context) {
	defer f.disconnect()
	for ctx.Err() == nil {
		if f.doubtTaken() {
			f.disconnect()
		}
		q := f.next()
		if q.delay > 0 {
			f.sleep(ctx, q.delay)
			continue
		}
		f.ask(ctx, q)
	}
}

// ask sends one question and takes in its outcome.
func (f *follower) ask(ctx context.Context, q question) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fresh := f.control == nil
	t := f.begin(cancel, fresh)
	ctx, stop := f.bounded(ctx, t, q.bound)
	defer stop()
	s, err := f.call(ctx, q)
	f.finish(t, q, s, err)
	f.noteSilence(t, fresh, err)
	switch {
	case err == nil:
		if !q.wait {
			f.answeredAfter(f.w.clock.Now().Sub(t.at))
		}
		f.w.Observe(f.view.Address, t, s)
	case errors.Is(err, errLateConnection):
		// The connection stands; the next question goes out on it.
		f.answeredBusy()
	case errors.Is(err, member.ErrBusy) && !f.busyTooLong():
		// The member answered, only not with a report: it lives.
		f.disconnect()
		f.answeredBusy()
	default:
		f.disconnect()
		if fresh {
			f.failed(t, err)
		}
	}
}

// bounded ends a question when its bound has passed and the member has answered
// nothing else since it was asked. One that answers statements is busy and not gone;
// to give up on it would cost a new connection, which waits in the same queue.
func (f *follower) bounded(ctx context.Context, t Ticket, bound time.Duration) (context.Context, context.CancelFunc) {
	if f.w.intervals.Spread == 0 {
		return context.WithTimeout(ctx, bound)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	latest := t.at.Add(busyFactor * bound)
	var expire func()
	expire = func() {
		now := f.w.clock.Now()
		if f.answeredSince(now.Add(-bound)) && now.Before(latest) && ctx.Err() == nil {
			f.w.clock.AfterFunc(bound, expire)
			return
		}
		cancel(context.DeadlineExceeded)
	}
	timer := f.w.clock.AfterFunc(bound, expire)
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// busyFactor is how many times its bound a question to a busy member may take.
const busyFactor = 20

func (f *follower) answeredSince(moment time.Time) bool {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	return f.observedAt.After(moment)
}

// noteSilence tells of a kept connection that never answered while a new one
// does: something between the two ends has lost track of open connections.
func (f *follower) noteSilence(t Ticket, fresh bool, err error) {
	switch {
	case !fresh && err != nil:
		f.silentSince = t.at
	case fresh && err == nil && !f.silentSince.IsZero():
		f.w.onSilence(f.silentSince)
		f.silentSince = time.Time{}
	}
}

// call dials if there is no connection, and asks.
func (f *follower) call(ctx context.Context, q question) (member.Status, error) {
	if f.control == nil {
		c, err := f.dialer.DialControl(ctx, f.view.Address)
		if err != nil {
			return member.Status{}, err
		}
		f.control = c
		if ctx.Err() != nil {
			return member.Status{}, errLateConnection
		}
	}
	if q.wait {
		return f.control.WaitPosition(ctx, q.position)
	}
	return f.control.Status(ctx)
}

func (f *follower) disconnect() {
	if f.control != nil {
		_ = f.control.Close()
		f.control = nil
	}
}

// sleep waits for d, a kick or the end of ctx.
func (f *follower) sleep(ctx context.Context, d time.Duration) {
	t := f.w.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-f.kick:
	case <-t.C:
	}
}

func (f *follower) doubtTaken() bool {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	taken := f.doubted
	f.doubted = false
	return taken
}

// begin takes the ticket of a question. Only a question on the kept connection
// can be interrupted; one on a new connection is the probe that doubt asks for.
func (f *follower) begin(interrupt context.CancelFunc, fresh bool) Ticket {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	if !fresh {
		f.interrupt = interrupt
	}
	f.busy = false
	t := f.w.ticket()
	f.askedAt = t.at
	return t
}

// finish notes whether the answer came early without what was asked for.
func (f *follower) finish(t Ticket, q question, s member.Status, err error) {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	f.interrupt = nil
	early := f.w.clock.Now().Sub(t.at) < f.w.intervals.FastPoll
	missed := err == nil && early && s.Last.Position < q.position
	f.idle = q.wait && missed
	f.connected = err == nil
	switch {
	case q.wanted && missed:
		f.misses++
	case err == nil:
		f.misses = 0
	}
}

// errLateConnection says that a connection was opened when the bound of the question
// had passed.
var errLateConnection = errors.New("the connection came late")

// adopt makes s the member's newest report.
func (f *follower) adopt(t Ticket, s member.Status) {
	f.busySince = time.Time{}
	f.view.Status, f.view.SeenAt = s, t.at
	if attached(s, f.w.term) {
		f.attachedAt = t.at
	}
	// A log shorter than what proved the member's age was cut or begun anew;
	// the proof was about records that are no longer there.
	if s.Last.Position < f.provenBy {
		f.view.FreshAsOf, f.provenBy = time.Time{}, 0
	}
}
