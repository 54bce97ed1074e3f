package group

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/result"
)

// Confirm implements Tracker.
func (w *Watcher) Confirm(ctx context.Context, mark logpos.TermPosition) error {
	return w.confirm(ctx, mark, false)
}

// ConfirmCommit implements Tracker.
func (w *Watcher) ConfirmCommit(ctx context.Context, mark logpos.TermPosition) error {
	return w.confirm(ctx, mark, true)
}

func (w *Watcher) confirm(ctx context.Context, mark logpos.TermPosition, isCommit bool) error {
	start := w.clock.Now()
	err := w.awaitConfirm(ctx, mark, isCommit)
	w.metrics.confirm.WithLabelValues(w.group, outcome(err)).Observe(w.secondsSince(start))
	return err
}

func (w *Watcher) awaitConfirm(ctx context.Context, mark logpos.TermPosition, isCommit bool) error {
	wt, err := w.startConfirm(mark, isCommit)
	if err != nil || wt == nil {
		return err
	}
	err, ended := w.awaitWaiter(ctx, wt)
	if !ended {
		return result.New(result.ConfirmTimeout, "term %d position %d", mark.Term, mark.Position).WithCause(ctx.Err())
	}
	return err
}

// startConfirm returns nil without an error if there is nothing to wait for.
func (w *Watcher) startConfirm(mark logpos.TermPosition, isCommit bool) (*waiter, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The mark was reported by a primary, so its term exists.
	w.advanceTerm(mark.Term)
	if mark.Term < w.term {
		return nil, result.New(result.PrimaryReplaced, "term %d was replaced by %d", mark.Term, w.term)
	}
	if w.quorum.requiredReplicas() == 0 {
		return nil, nil
	}
	wt := w.addWaiter(mark, true)
	wt.isCommit = isCommit
	return wt, nil
}

func (w *Watcher) secondsSince(start time.Time) float64 {
	return w.clock.Now().Sub(start).Seconds()
}

// outcome is the metric label of an error: ok if there is none, else its result code.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	if e, ok := result.As(err); ok {
		return e.Code.Label()
	}
	return "error"
}
