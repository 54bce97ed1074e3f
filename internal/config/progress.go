package config

// contact names whom an instance heard from.
type contact int

const (
	platformContact contact = iota
	peerContact
)

// progress tells how far a starting instance has come.
type progress struct {
	// tried: the first call has ended. heard: one has succeeded.
	tried, heard [peerContact + 1]bool
}

// noteContact records the end of a call to the platform or to a peer.
func (s *Store) noteContact(c contact, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress.tried[c] = true
	s.progress.heard[c] = s.progress.heard[c] || err == nil
}

func (s *Store) peersTried() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.progress.tried[peerContact]
}

// informed reports whether the platform or a peer has told what it has.
func (s *Store) informed() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.progress.heard[platformContact] || s.progress.heard[peerContact]
}

// Ready reports whether this instance has documents and has asked both the
// platform and a peer for the highest versions, one of them with success. An
// instance that served what a platform restored from an old copy holds, while
// its peers have later versions, would take back accepted changes.
func (s *Store) Ready() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p := s.progress
	asked := p.tried[platformContact] && p.tried[peerContact]
	heard := p.heard[platformContact] || p.heard[peerContact]
	return asked && heard && len(s.table.documents) > 0
}
