package executor

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

const (
	// monitorInterval is the interval between two checks of running units.
	monitorInterval = 30 * time.Millisecond
	// silenceThreshold is how long a member may answer nothing at all while it runs a statement
	// of this instance before it is asked for its report: several times a usual statement. A
	// member that drops off the network closes no connection; without the check, its statements
	// would wait for their timeouts.
	silenceThreshold = 150 * time.Millisecond
)

// monitorUnits checks running units until ctx ends: it interrupts those that wait for a lost
// member, has the tracker recheck silent members, and ends reads that can be sent elsewhere. It blocks while no unit is running, so an
// idle group costs no CPU time.
func (g *Group) monitorUnits(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.runningUnits.wake:
		}
		for g.runningUnits.hasUnits() {
			if clock.Sleep(ctx, g.Clock, monitorInterval) != nil {
				return
			}
			g.interruptUnanswered()
			g.recheckSilentMembers()
			g.endSilentReads()
		}
	}
}

// recheckSilentMembers requests a report from members that run statements but have not answered
// anything for silenceThreshold.
func (g *Group) recheckSilentMembers() {
	for _, address := range g.runningUnits.silentMembers(g.Clock.Now().Add(-silenceThreshold)) {
		g.Tracker.Recheck(address)
	}
}
