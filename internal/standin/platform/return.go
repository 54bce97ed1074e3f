package platform

import (
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// firstEra is the era of a new store.
	firstEra = 1
	// maxCopyAge is the age of the oldest copy that a store can return from.
	maxCopyAge = time.Minute
)

// pastChange is what one change replaced.
type pastChange struct {
	at       time.Time
	kind     platform.Kind
	name     string
	revision int64
	// previous is the object before the change; existed is false if there was none.
	previous platform.Object
	existed  bool
}

// recordPastChange records an object that is about to be changed. The caller holds s.mu.
func (s *Store) recordPastChange(kind platform.Kind, name string) {
	now := time.Now()
	for len(s.undo) > 0 && now.Sub(s.undo[0].at) > maxCopyAge {
		s.undo = s.undo[1:]
	}
	previous, existed := s.collectionFor(kind).objects[name]
	s.undo = append(s.undo, pastChange{at: now, kind: kind, name: name, revision: s.revision, previous: previous, existed: existed})
}

// ReturnFromCopy replaces the store's state by a copy that is age old and begins the next era.
// Everything written since is lost, and the revisions since are given out again. Watches that
// wait are cut off.
func (s *Store) ReturnFromCopy(age time.Duration) {
	s.mu.Lock()
	taken := time.Now().Add(-age)
	for len(s.undo) > 0 {
		last := s.undo[len(s.undo)-1]
		if last.at.Before(taken) {
			break
		}
		s.revert(last)
		s.undo = s.undo[:len(s.undo)-1]
	}
	for _, c := range s.kinds {
		c.compactedRevision = min(c.compactedRevision, s.revision)
	}
	s.notifyWatchers()
	s.mu.Unlock()
	s.eras.Observe(s.Era() + 1)
}

// revert undoes a change. The caller holds s.mu.
func (s *Store) revert(p pastChange) {
	c := s.collectionFor(p.kind)
	if p.existed {
		c.objects[p.name] = p.previous
	} else {
		delete(c.objects, p.name)
	}
	s.revision = p.revision
}

// Era returns the store's era. It rises by one each time that the store returns from a copy.
func (s *Store) Era() int64 { return s.eras.Latest() }
