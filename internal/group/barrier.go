package group

import (
	"context"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/result"
)

// Barrier implements Tracker. Its errors are all of the did-not-run family:
// NoPrimary, or NoConfirmingReplica when ctx ends with the mark unconfirmed.
//
// Callers share rounds without a queue of their own: one question to the
// primary serves every caller that waited when it was sent.
func (w *Watcher) Barrier(ctx context.Context) (logpos.Mark, error) {
	start := w.clock.Now()
	mark, err := w.barrier(ctx)
	w.metrics.barrier.WithLabelValues(w.group, outcome(err)).Observe(w.since(start))
	return mark, err
}

func (w *Watcher) barrier(ctx context.Context) (logpos.Mark, error) {
	x, err := w.joinBarrier()
	if err != nil {
		return logpos.Mark{}, err
	}
	return w.awaitMark(ctx, x)
}

// awaitMark waits for the mark of a barrier or a floor.
func (w *Watcher) awaitMark(ctx context.Context, x *waiter) (logpos.Mark, error) {
	err, ended := w.await(ctx, x)
	switch {
	case ended && err == nil:
		return x.mark, nil
	case ended:
		// The mark's term was replaced while the read waited, which has not been
		// sent, so that the caller may be told that it did not run.
		return logpos.Mark{}, result.New(result.NoPrimary, "the primary was replaced").WithCause(err)
	default:
		return logpos.Mark{}, w.lateBarrier(ctx, x)
	}
}

func (w *Watcher) joinBarrier() (*waiter, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.primary == "" {
		return nil, result.New(result.NoPrimary, "group %s", w.group)
	}
	return w.join(logpos.Mark{}, false), nil
}

// lateBarrier names what a barrier was missing when its time ran out.
func (w *Watcher) lateBarrier(ctx context.Context, x *waiter) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !x.marked {
		return result.New(result.NoPrimary, "the primary did not tell its position").WithCause(ctx.Err())
	}
	return result.New(result.NoConfirmingReplica, "term %d position %d", x.mark.Term, x.mark.Position).WithCause(ctx.Err())
}
