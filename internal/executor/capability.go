package executor

import "github.com/topazrock/topazrock/internal/homechoice"

// capability is what this instance can do for a group that it is home to.
type capability = homechoice.Capability

// currentCapability returns what this instance can do for the group now. A primary that has missed
// even one probe does not count: units of this instance wait for it, but units of other instances
// would be sent to it and lost with it. A member that accepts no connection of this instance does
// not count either.
func (g *Group) currentCapability() capability {
	s, err := g.findWritablePrimary()
	primary, _ := s.FindMember(s.Primary)
	writes := err == nil && primary.FailingSince.IsZero() && !g.Pool.IsFull(s.Primary)
	return capability{Writes: writes, Reads: writes || g.Tracker.Snapshot().QuorumReachable() && g.canConnect()}
}

// restartAware is implemented by pools that know that members may still count connections of
// instances that lost power.
type restartAware interface{ AwaitsLostConnections() bool }

// awaitsLostConnections reports whether this home has just started and may open few connections.
// Homes that started as recently have no room for each other's units.
func (g *Group) awaitsLostConnections() bool {
	p, ok := g.Pool.(restartAware)
	return ok && p.AwaitsLostConnections()
}

// canConnect reports whether some responsive member of the group accepts connections.
func (g *Group) canConnect() bool {
	for _, m := range g.Tracker.Snapshot().Members {
		if m.FailingSince.IsZero() && !g.Pool.IsFull(m.Address) {
			return true
		}
	}
	return false
}
