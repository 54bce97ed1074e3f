package config

// remoteKind is the kind of remote that an instance fetches documents from.
type remoteKind int

const (
	remotePlatform remoteKind = iota
	remotePeer
)

// startupProgress records the calls of a starting instance to each kind of
// remote.
type startupProgress struct {
	// attempted reports for each remoteKind whether a call has completed, with
	// or without success, and succeeded whether one has succeeded.
	attempted, succeeded [remotePeer + 1]bool
}

// recordCallResult records the result of a call to the platform or to a peer.
// An instance that has its documents from peers and is not a relay does not call
// the platform; it records errSyncedFromPeers as the result.
func (s *Store) recordCallResult(kind remoteKind, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startup.attempted[kind] = true
	s.startup.succeeded[kind] = s.startup.succeeded[kind] || err == nil
}

func (s *Store) triedPeer() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.startup.attempted[remotePeer]
}

// hasSynced reports whether this instance has received the documents of the
// platform or of a peer.
func (s *Store) hasSynced() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.startup.succeeded[remotePlatform] || s.startup.succeeded[remotePeer]
}

// Ready reports whether this instance has documents and has called both the
// platform and a peer for the highest versions, with success for at least one
// of them. If an instance served the documents of a platform that was restored
// from an old backup while its peers have later versions, it would revert
// accepted changes.
func (s *Store) Ready() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p := s.startup
	attempted := p.attempted[remotePlatform] && p.attempted[remotePeer]
	succeeded := p.succeeded[remotePlatform] || p.succeeded[remotePeer]
	return attempted && succeeded && len(s.table.documents) > 0
}
