package executor

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

const (
	// silenceInterval is how often units at work are looked at.
	silenceInterval = 50 * time.Millisecond
	// silenceAfter is how long a member may answer nothing at all, while it has a
	// statement of this instance, before it is asked for its report: several times a
	// usual statement. A member that went dark closes no connection, and without the
	// question its statements would wait for their timeouts.
	silenceAfter = 150 * time.Millisecond
)

// watchSilence asks members for a report that have answered nothing for a while
// although statements are there.
func (g *Group) watchSilence(ctx context.Context) {
	for clock.Sleep(ctx, g.Clock, silenceInterval) == nil {
		for _, address := range g.running.silent(g.Clock.Now().Add(-silenceAfter)) {
			g.Tracker.Recheck(address)
		}
	}
}
