package pool

import (
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

// trim closes, at an interval, the idle connections that were not needed since the
// last time. A burst opens connections that are then idle for good; members count
// them, and count them on for seconds when this instance loses power, so that its
// successor finds no room.
func (p *Limited) trim(interval time.Duration) {
	for clock.Sleep(p.background, p.cfg.Clock, interval) == nil {
		p.mu.Lock()
		for _, m := range p.members {
			p.trimMember(m)
			m.dropEmptyLanes()
		}
		p.mu.Unlock()
	}
}

// trimMember closes as many idle connections of each workspace as were idle all the time, and
// leaves one connection at least. A spare one as well, in each of seven instances, was a third
// of what a member takes: none was free for the first seconds after all had lost power.
func (p *Limited) trimMember(m *memberState) {
	for workspace, l := range m.lanes {
		surplus := min(l.leastIdle, l.idle, l.counted()-1)
		for range surplus {
			p.idle--
			p.startClose(m.takeOldestOf(workspace), closedSurplus)
		}
		l.leastIdle = l.idle
	}
}
