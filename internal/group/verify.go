package group

import (
	"context"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/result"
)

// Verification proves that the primary of a term had not been replaced when the
// Verification began. It completes by itself; a caller that does not Wait for it must
// Cancel it.
type Verification struct {
	watcher *Watcher
	waiter  *waiter
	// Term is the term that is verified.
	Term logpos.Term
}

// Verify implements Tracker.
func (w *Watcher) Verify() (*Verification, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.primary == "" {
		return nil, result.New(result.NoPrimary, "group %s", w.group)
	}
	v := &Verification{watcher: w, Term: w.term}
	if w.quorum.requiredReplicas() > 0 {
		// Every replica holds position zero, so only the term matters.
		v.waiter = w.addWaiter(logpos.TermPosition{Term: w.term}, true)
	}
	return v, nil
}

// Wait returns nil once the proof is complete. Its errors are PrimaryReplaced, or
// ConfirmTimeout when ctx ends first.
func (v *Verification) Wait(ctx context.Context) error {
	if v.waiter == nil {
		return nil
	}
	err, ended := v.watcher.awaitWaiter(ctx, v.waiter)
	if !ended {
		return result.New(result.ConfirmTimeout, "term %d was not verified", v.Term).WithCause(ctx.Err())
	}
	return err
}

// Cancel cancels a verification that is no longer needed.
func (v *Verification) Cancel() {
	if v != nil && v.waiter != nil {
		v.watcher.removeWaiter(v.waiter)
	}
}
