package executor

import "sync"

// partialHandler passes the chunks of one unit's answer on to its caller.
type partialHandler struct {
	pass func([]byte) error
	// running counts the chunks that are being passed on.
	running sync.WaitGroup
}

// addPartialHandler receives the chunks of a unit's answer until the returned function is called,
// which waits for a chunk that is being passed on. Otherwise the caller would get that chunk after
// the error with which its unit ends.
func (r *Router) addPartialHandler(unitID string, pass func([]byte) error) (remove func()) {
	h := &partialHandler{pass: pass}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partialHandlers[unitID] = h
	return func() {
		r.mu.Lock()
		delete(r.partialHandlers, unitID)
		r.mu.Unlock()
		h.running.Wait()
	}
}

// acquirePartialHandler returns the handler of a unit, with one chunk counted as running, or nil if
// the unit is no longer waited for.
func (r *Router) acquirePartialHandler(unitID string) *partialHandler {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h := r.partialHandlers[unitID]
	if h != nil {
		h.running.Add(1)
	}
	return h
}
