package pool

import (
	"math"
	"time"
)

const (
	// usageWindow is the averaging window of a workspace's rate of use. It spans a few uses of a
	// workspace that is used every few seconds, and follows a burst within seconds.
	usageWindow = 10 * time.Second
	// minUsage is the number of uses in the window below which a rate is forgotten.
	minUsage = 0.01
)

// usage is the exponentially decayed number of a workspace's uses of a member.
type usage struct {
	uses float64
	asOf time.Time
}

// at returns the number of uses decayed to now. Time that went backward counts as none.
func (u usage) at(now time.Time) float64 {
	elapsed := max(now.Sub(u.asOf), 0)
	return u.uses * math.Exp(-elapsed.Seconds()/usageWindow.Seconds())
}

// recordUse counts a use of the member by a workspace.
func (m *memberState) recordUse(workspace string, now time.Time) {
	m.usage[workspace] = usage{uses: m.usage[workspace].at(now) + 1, asOf: now}
}

// forgetUnused deletes the usage of workspaces that have hardly used the member recently.
func (m *memberState) forgetUnused(now time.Time) {
	for workspace, u := range m.usage {
		if u.at(now) < minUsage {
			delete(m.usage, workspace)
		}
	}
}

// popLeastNeeded removes and returns the idle connection whose closing is expected to cost the
// fewest openings: that of the workspace with the fewest recent uses for each of its idle
// connections. Among equals, and for the connections of one workspace, the least recently used one
// is closed.
//
// It answers tens of workspaces of very unequal size that share a few connections. A closing by
// last use alone gives each use of a rare workspace the connection of a frequent one, which opens
// another a moment later.
func (m *memberState) popLeastNeeded(now time.Time) *pooledConn {
	least, leastValue := 0, math.Inf(1)
	for n, pc := range m.idle {
		value := m.usage[pc.workspace].at(now) / float64(m.countsFor(pc.workspace).idle)
		if value < leastValue {
			least, leastValue = n, value
		}
	}
	return m.removeIdleAt(least)
}
