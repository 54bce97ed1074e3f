package failover

import (
	"context"
	"errors"
	"time"

	"github.com/topazrock/topazrock/internal/member"
)

// memberAttempt is one member under an attempt, with one connection kept through it.
type memberAttempt struct {
	a       *attempt
	address string
	// avoid says that the member should not lead if another may.
	avoid   bool
	control member.Control
}

// call is one control call of the attempt's term.
type call func(ctx context.Context, c member.Control) (member.Status, error)

// tend fences the member, and then lets it lead or follow.
func (w *memberAttempt) tend(ctx context.Context) {
	defer w.disconnect()
	s, err := w.persist(ctx, func(ctx context.Context, c member.Control) (member.Status, error) {
		return c.EnterTerm(ctx, w.a.term)
	})
	if err != nil {
		return
	}
	w.a.fenced <- fencing{memberAttempt: w, status: s}
	if !waitFor(ctx, w.a.chosen) {
		return
	}
	if w.address == w.a.target {
		w.lead(ctx)
	} else if waitFor(ctx, w.a.led) {
		w.follow(ctx)
	}
}

func (w *memberAttempt) lead(ctx context.Context) {
	_, err := w.persist(ctx, func(ctx context.Context, c member.Control) (member.Status, error) {
		// A process that was stopped may wake behind its time before its timers do.
		if w.a.left() <= 0 {
			return member.Status{}, errLate
		}
		return c.Promote(ctx, member.Promotion{Term: w.a.term, Claimer: w.a.claim.record.Claimer, Claim: w.a.claim.record.Number})
	})
	if err == nil {
		close(w.a.led)
	}
}

func (w *memberAttempt) follow(ctx context.Context) {
	// A member that cannot follow now is left to the attacher.
	_, _ = w.persist(ctx, func(ctx context.Context, c member.Control) (member.Status, error) {
		return c.Follow(ctx, w.a.term, w.a.target)
	})
}

// persist calls until the member answers, the term has passed, or ctx ends. All
// calls are idempotent within their term.
func (w *memberAttempt) persist(ctx context.Context, f call) (member.Status, error) {
	for tries := 0; ; tries++ {
		s, err := w.try(ctx, f, callTimeout(w.a.c.Settings.Call, tries))
		if err == nil {
			return s, nil
		}
		if errors.Is(err, member.ErrTermPassed) {
			w.a.end(errReplaced)
			return member.Status{}, err
		}
		w.disconnect()
		w.a.c.pause(ctx, w.a.c.Settings.Retry, nil)
		if ctx.Err() != nil {
			return member.Status{}, ctx.Err()
		}
	}
}

// maxCallDoublings bounds how often the bound of a call doubles.
const maxCallDoublings = 4

// callTimeout is the bound of a call after a number of failed tries. It doubles,
// for a member that is merely slow would else never be fenced.
func callTimeout(least time.Duration, tries int) time.Duration {
	return least << min(tries, maxCallDoublings)
}

func (w *memberAttempt) try(ctx context.Context, f call, bound time.Duration) (member.Status, error) {
	c := w.a.c
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	if w.control == nil {
		control, err := c.Dialer.DialControl(ctx, w.address)
		if err != nil {
			return member.Status{}, err
		}
		w.control = control
	}
	ticket := c.View.Ask()
	s, err := f(ctx, w.control)
	if err == nil {
		c.View.Observe(w.address, ticket, s)
	}
	return s, err
}

func (w *memberAttempt) disconnect() {
	if w.control != nil {
		_ = w.control.Close()
		w.control = nil
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
