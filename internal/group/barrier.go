package group

import (
	"context"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/result"
)

// Barrier implements Tracker. Its errors all belong to the did-not-run family: NoPrimary,
// or NoConfirmingReplica when ctx ends before the mark is confirmed.
//
// Concurrent calls share rounds without a queue: one query to the primary serves every
// call that was waiting when the query was sent.
func (w *Watcher) Barrier(ctx context.Context) (logpos.TermPosition, error) {
	start := w.clock.Now()
	mark, err := w.barrier(ctx)
	w.metrics.barrier.WithLabelValues(w.group, outcome(err)).Observe(w.secondsSince(start))
	return mark, err
}

func (w *Watcher) barrier(ctx context.Context) (logpos.TermPosition, error) {
	wt, err := w.startBarrier()
	if err != nil {
		return logpos.TermPosition{}, err
	}
	return w.awaitMark(ctx, wt)
}

// awaitMark waits for the mark of a barrier or a floor.
func (w *Watcher) awaitMark(ctx context.Context, wt *waiter) (logpos.TermPosition, error) {
	err, ended := w.awaitWaiter(ctx, wt)
	switch {
	case ended && err == nil:
		return wt.mark, nil
	case ended:
		// The mark's term was replaced while the read was waiting. The read has not been
		// sent, so the caller can be told that it did not run.
		return logpos.TermPosition{}, result.New(result.NoPrimary, "the primary was replaced").WithCause(err)
	default:
		return logpos.TermPosition{}, w.barrierTimeoutError(ctx, wt)
	}
}

func (w *Watcher) startBarrier() (*waiter, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.primary == "" {
		return nil, result.New(result.NoPrimary, "group %s", w.group)
	}
	return w.addWaiter(logpos.TermPosition{}, false), nil
}

// barrierTimeoutError returns what a barrier lacked when its ctx ended.
func (w *Watcher) barrierTimeoutError(ctx context.Context, wt *waiter) error {
	if cause, ok := result.FromCause(ctx); ok {
		return cause
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !wt.hasMark {
		return result.New(result.NoPrimary, "the primary did not tell its position").WithCause(ctx.Err())
	}
	return result.New(result.NoConfirmingReplica, "term %d position %d", wt.mark.Term, wt.mark.Position).WithCause(ctx.Err())
}
