package quota

// Usage is how much of a workspace's limit an instance uses.
type Usage struct {
	// PerSecond is the recent average rate of requested operations.
	PerSecond float64
	// Refused counts the operations that were refused.
	Refused uint64
}

// Usage returns this instance's usage of a workspace's limit.
func (g *Guard) Usage(name string) Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.accounts[name]
	if a == nil {
		return Usage{}
	}
	a.decayDemand(g.Clock.Now())
	return Usage{PerSecond: a.totalDemand(), Refused: a.refusals}
}
