package executor

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

const (
	// overseeInterval is how often units at work are looked at.
	overseeInterval = 30 * time.Millisecond
	// silenceAfter is how long a member may answer nothing at all, while it has a
	// statement of this instance, before it is asked for its report: several times a
	// usual statement. A member that went dark closes no connection, and without the
	// question its statements would wait for their timeouts.
	silenceAfter = 150 * time.Millisecond
)

// oversee looks at the units at work, until ctx ends: it ends those that wait for a
// member that is lost, and has members that are silent asked for a report. While
// nothing is at work, it sleeps; an idle group then costs no processor time.
func (g *Group) oversee(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.running.busy:
		}
		for g.running.any() {
			if clock.Sleep(ctx, g.Clock, overseeInterval) != nil {
				return
			}
			g.endUnanswered()
			g.askSilent()
		}
	}
}

// askSilent asks members for a report that have answered nothing for a while although
// statements are there.
func (g *Group) askSilent() {
	for _, address := range g.running.silent(g.Clock.Now().Add(-silenceAfter)) {
		g.Tracker.Recheck(address)
	}
}
