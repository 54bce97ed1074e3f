package quota

// Use is what an instance has begun for a workspace.
type Use struct {
	// PerSecond is the average of the operations that were asked for of late.
	PerSecond float64
	// Refused counts those that were refused.
	Refused uint64
}

// UseOf returns the use of a workspace's limit by this instance.
func (g *Guard) UseOf(name string) Use {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.accounts[name]
	if a == nil {
		return Use{}
	}
	a.decay(g.Clock.Now())
	return Use{PerSecond: a.demand, Refused: a.refusals}
}
