package executor

import (
	"context"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

// Run ends what must not be waited for any longer, and asks other homes where units need
// it, until ctx ends. A Router has been told of the group before.
func (g *Group) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { g.oversee(ctx) })
	parts.Go(func() { g.endIdle(ctx) })
	if g.homeFinder != nil {
		parts.Go(func() { g.homeFinder.run(ctx) })
	}
	parts.Wait()
}

// endIdle ends transactions that were idle for too long, until ctx ends. Their locks and
// connections are held for callers that may be gone for good. While none is open, it
// sleeps; an idle group then costs no processor time.
func (g *Group) endIdle(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.transactions.opened:
		}
		for g.transactions.count() > 0 {
			if clock.Sleep(ctx, g.Clock, reapInterval) != nil {
				return
			}
			g.rollBackIdle()
		}
	}
}

// rollBackIdle rolls back the transactions that are idle for too long now.
func (g *Group) rollBackIdle() {
	limit := g.Service().Limits.TransactionIdleTimeout
	for _, tx := range g.transactions.idleSince(g.Clock.Now().Add(-limit)) {
		g.Logger.Info("Idle transaction was rolled back.", "group", g.Group, "transaction", tx.id)
		g.Metrics.transactionReaped(g.Group)
		g.Abandon(g.Group, tx.id)
	}
}

// pollPause is the pause between two looks at a snapshot.
const pollPause = 5 * time.Millisecond

func (g *Group) pause(ctx context.Context) error {
	return clock.Sleep(ctx, g.Clock, pollPause)
}
