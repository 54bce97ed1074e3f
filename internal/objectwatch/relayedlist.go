package objectwatch

import (
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// relayedList holds the objects of a kind that a follower received from another instance. It
// serves the first list of the instance's children in the relay tree. It may be older than the
// readers' state; the children continue from its revision.
type relayedList struct {
	mu       sync.Mutex
	loaded   bool
	objects  map[string]platform.Object
	revision platform.Revision
	// asOf is when the latest list that proves the objects to be complete was requested from the
	// platform.
	asOf time.Time
	// loadedCh is closed when the first list is stored.
	loadedCh chan struct{}
}

func newRelayedList() *relayedList { return &relayedList{loadedCh: make(chan struct{})} }

// applyList stores a list unless a later one is stored.
func (l *relayedList) applyList(objects []platform.Object, revision platform.Revision, asOf time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loaded && revision < l.revision {
		return
	}
	l.objects = make(map[string]platform.Object, len(objects))
	for _, o := range objects {
		l.objects[o.Name] = o
	}
	l.revision, l.asOf = revision, asOf
	if !l.loaded {
		l.loaded = true
		close(l.loadedCh)
	}
}

// applyChanges applies the changes between the revisions after and revision. It ignores them if
// the stored revision is before the first, because changes would be skipped, or beyond the
// second. asOf is when the list was requested that proves the changes to be complete, or the zero time.
func (l *relayedList) applyChanges(objects []platform.Object, after, revision platform.Revision, asOf time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded || after > l.revision || revision < l.revision {
		return
	}
	for _, o := range objects {
		if o.Removed {
			delete(l.objects, o.Name)
		} else {
			l.objects[o.Name] = o
		}
	}
	l.revision = revision
	if asOf.After(l.asOf) {
		l.asOf = asOf
	}
}

// snapshot returns the stored objects.
func (l *relayedList) snapshot() snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return snapshot{}
	}
	return newSnapshot(l.objects, l.revision, l.asOf)
}
