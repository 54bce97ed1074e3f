package config

// contact names whom an instance heard from.
type remoteKind int

const (
	remotePlatform remoteKind = iota
	remotePeer
)

// progress tells how far a starting instance has come.
type startupProgress struct {
	// tried: the first call has ended. heard: one has succeeded.
	attempted, succeeded [remotePeer + 1]bool
}

// recordCallResult records the end of a call to the platform or to a peer.
func (s *Store) recordCallResult(c remoteKind, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startup.attempted[c] = true
	s.startup.succeeded[c] = s.startup.succeeded[c] || err == nil
}

func (s *Store) triedPeer() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.startup.attempted[remotePeer]
}

// informed reports whether the platform or a peer has told what it has.
func (s *Store) hasSynced() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.startup.succeeded[remotePlatform] || s.startup.succeeded[remotePeer]
}

// Ready reports whether this instance has documents and has asked both the
// platform and a peer for the highest versions, one of them with success. An
// instance that served what a platform restored from an old copy holds, while
// its peers have later versions, would take back accepted changes.
func (s *Store) Ready() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p := s.startup
	attempted := p.attempted[remotePlatform] && p.attempted[remotePeer]
	succeeded := p.succeeded[remotePlatform] || p.succeeded[remotePeer]
	return attempted && succeeded && len(s.table.documents) > 0
}
