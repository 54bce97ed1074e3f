package failover

import (
	"context"
	"errors"
	"time"

	"github.com/topazrock/topazrock/internal/member"
)

// memberAttempt carries out an attempt at one member, over one connection where possible.
type memberAttempt struct {
	attempt *attempt
	address string
	// avoid is set if the member is promoted only when no other member is equally up to date.
	avoid bool
	// failing is set if the member fails the statements of this instance. No quorum waits for others
	// because of it, but it is promoted only when no better member is equally up to date.
	failing bool
	// requestedBefore is set if an earlier claimer may still request this member's promotion. It is
	// preferred among members that are equally up to date: the request then changes nothing.
	requestedBefore bool
	control         member.Control
}

// controlCall is a control call of the attempt's term.
type controlCall func(ctx context.Context, c member.Control) (member.Status, error)

// reluctance returns the order of choice among members that are equally up to date, lowest first.
func (m *memberAttempt) reluctance() int {
	switch {
	case m.avoid:
		return 2
	case m.failing:
		return 1
	case m.requestedBefore:
		return -1
	default:
		return 0
	}
}

// run fences the member, then promotes it or attaches it to the new primary.
func (m *memberAttempt) run(ctx context.Context) {
	defer m.disconnect()
	s, err := m.callWithRetry(ctx, func(ctx context.Context, c member.Control) (member.Status, error) {
		return c.EnterTerm(ctx, m.attempt.term)
	})
	if err != nil {
		return
	}
	m.attempt.fenced <- fencedMember{memberAttempt: m, status: s}
	if !waitFor(ctx, m.attempt.targetChosen) {
		return
	}
	if m.address == m.attempt.target {
		m.promote(ctx)
	} else if waitFor(ctx, m.attempt.promoted) {
		m.followPrimary(ctx)
	}
}

func (m *memberAttempt) promote(ctx context.Context) {
	_, err := m.callWithRetry(ctx, func(ctx context.Context, c member.Control) (member.Status, error) {
		// A process that was paused may resume after the attempt expired, before its timers fire.
		if err := m.attempt.Check(); err != nil {
			return member.Status{}, err
		}
		return c.Promote(ctx, member.Promotion{Term: m.attempt.term, Claimer: m.attempt.claim.record.Claimer, Claim: m.attempt.claim.record.Number, Guard: m.attempt})
	})
	if err == nil {
		close(m.attempt.promoted)
	}
}

func (m *memberAttempt) followPrimary(ctx context.Context) {
	// If this member cannot follow now, the attacher will attach it.
	_, _ = m.callWithRetry(ctx, func(ctx context.Context, c member.Control) (member.Status, error) {
		return c.Follow(ctx, m.attempt.term, m.attempt.target)
	})
}

// callWithRetry calls the member until it answers, the term is superseded, or ctx ends.
// All calls are idempotent within their term.
func (m *memberAttempt) callWithRetry(ctx context.Context, f controlCall) (member.Status, error) {
	for tries := 0; ; tries++ {
		s, err := m.callOnce(ctx, f, callTimeout(m.attempt.claimer.Settings.CallTimeout, tries))
		if err == nil {
			return s, nil
		}
		if errors.Is(err, member.ErrStaleTerm) {
			m.attempt.abort(errTermSuperseded)
			return member.Status{}, err
		}
		m.disconnect()
		m.attempt.claimer.pause(ctx, m.attempt.claimer.Settings.RetryInterval, nil)
		if ctx.Err() != nil {
			return member.Status{}, ctx.Err()
		}
	}
}

// maxCallDoublings limits how often the timeout of a call doubles.
const maxCallDoublings = 4

// callTimeout returns the timeout of a call after a number of failed tries. It doubles
// with each one; otherwise a member that is merely slow would never be fenced.
func callTimeout(initial time.Duration, tries int) time.Duration {
	return initial << min(tries, maxCallDoublings)
}

func (m *memberAttempt) callOnce(ctx context.Context, f controlCall, timeout time.Duration) (member.Status, error) {
	c := m.attempt.claimer
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if m.control == nil {
		control, err := c.Dialer.DialControl(ctx, m.address)
		if err != nil {
			return member.Status{}, err
		}
		m.control = control
	}
	ticket := c.View.NewTicket()
	s, err := f(ctx, m.control)
	if err == nil {
		c.View.RecordReport(m.address, ticket, s)
	}
	return s, err
}

func (m *memberAttempt) disconnect() {
	if m.control != nil {
		_ = m.control.Close()
		m.control = nil
	}
}

// waitFor reports whether done was closed before ctx ended.
func waitFor(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
