package pool

import (
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

// trimPeriodically closes idle connections that were not needed since the last run. A burst
// opens connections that then stay idle. Members count them, and continue to do so for
// seconds after this instance loses power, so that the instance that takes over would find
// no free connections.
func (p *Limited) trimPeriodically(interval time.Duration) {
	for clock.Sleep(p.background, p.cfg.Clock, interval) == nil {
		p.mu.Lock()
		for _, m := range p.members {
			p.trimMember(m)
			m.removeEmptyWorkspaces()
			m.forgetUnused(p.cfg.Clock.Now())
		}
		p.mu.Unlock()
	}
}

// trimMember closes, for each workspace, as many idle connections as were idle during the
// whole interval, but keeps at least one connection. It keeps no spare one: with a spare
// connection in each of seven instances, the spares took a third of a member's connection
// limit, and none was free in the first seconds after all instances had lost power.
func (p *Limited) trimMember(m *memberState) {
	for workspace, counts := range m.workspaces {
		surplus := min(counts.minIdle, counts.idle, counts.total()-1)
		for range surplus {
			p.idle--
			p.startClose(m.popOldestIdleOf(workspace), closedNotNeeded)
		}
		counts.minIdle = counts.idle
	}
}
