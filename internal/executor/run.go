package executor

import (
	"context"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

// Run ends units and transactions that must not be waited for any longer, and queries other homes
// when units need them, until ctx ends. The group must have been added to its Router before.
func (g *Group) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { g.monitorUnits(ctx) })
	tasks.Go(func() { g.reapIdleTransactions(ctx) })
	if g.homeFinder != nil {
		tasks.Go(func() { g.homeFinder.Run(ctx) })
	}
	tasks.Wait()
}

// reapIdleTransactions rolls back transactions that have been idle for too long, until ctx ends.
// They hold locks and connections for callers that may never return. It blocks while no
// transaction is open, so an idle group costs no CPU time.
func (g *Group) reapIdleTransactions(ctx context.Context) {
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
			g.rollBackIdleTransactions()
		}
	}
}

// rollBackIdleTransactions rolls back the transactions that exceed the idle timeout.
func (g *Group) rollBackIdleTransactions() {
	limit := g.Service().Limits.TransactionIdleTimeout
	for _, tx := range g.transactions.idleSince(g.Clock.Now().Add(-limit)) {
		g.Logger.Info("Rolling back idle transaction.", "group", g.Group, "transaction", tx.id)
		g.Metrics.countReapedTransaction(g.Group)
		g.AbandonTransaction(g.Group, tx.id)
	}
}

// pollInterval is the interval between two checks of a snapshot.
const pollInterval = 5 * time.Millisecond

func (g *Group) sleepPollInterval(ctx context.Context) error {
	return clock.Sleep(ctx, g.Clock, pollInterval)
}
