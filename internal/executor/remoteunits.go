package executor

// remoteUnit is a unit of one of this instance's callers that runs at another instance.
type remoteUnit struct {
	instance string
	// unitID is the unit's ID at that instance.
	unitID string
}

// addRemoteUnit records where a unit runs until the returned function is called. Without the
// record, a cancel request would be lost if this instance is also home to the group, because the
// group does not know units that run elsewhere.
func (r *Router) addRemoteUnit(unitID string, remote remoteUnit) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remoteUnits[unitID] = remote
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.remoteUnits, unitID)
	}
}

func (r *Router) findRemoteUnit(unitID string) (remoteUnit, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	remote, ok := r.remoteUnits[unitID]
	return remote, ok
}
