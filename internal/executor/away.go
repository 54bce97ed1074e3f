package executor

// awayUnit is a unit of a caller of this instance that is at work at another one.
type awayUnit struct {
	instance string
	// id names the unit there.
	id string
}

// setAway notes where a unit is at work, until the function that it returns is called. A
// group that this instance is home to does not know such a unit, and a cancel request for
// it would be lost.
func (r *Router) setAway(unitID string, at awayUnit) (back func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away[unitID] = at
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.away, unitID)
	}
}

func (r *Router) awayAt(unitID string) (awayUnit, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	at, ok := r.away[unitID]
	return at, ok
}
