package objectwatch

import (
	"context"
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
)

// feedHistory is how many changes a feed keeps: those of some minutes, so that whoever
// follows it is told what changed and need not list all again.
const feedHistory = 512

// change is one object's change and the revision that the platform told with it.
type change struct {
	object   platform.Object
	revision int64
}

// feed is what an instance has learned of one kind from the platform's lists and
// watches, for other instances to follow.
type feed struct {
	mu sync.Mutex
	// known says that the objects were listed, inTouch that the last call was answered.
	known, inTouch bool
	objects        map[string]platform.Object
	revision       int64
	// changes are the last ones, oldest first, all after the revision since.
	changes []change
	since   int64
	// changed is closed and replaced when the revision rises.
	changed chan struct{}
}

func newFeed() *feed {
	return &feed{objects: make(map[string]platform.Object), changed: make(chan struct{})}
}

// listed takes in a list of all objects.
func (f *feed) listed(objects []platform.Object, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inTouch = true
	if f.known && revision <= f.revision {
		return
	}
	f.known = true
	clear(f.objects)
	for _, o := range objects {
		f.objects[o.Name] = o
	}
	f.changes, f.since = nil, revision
	f.rise(revision)
}

// watched takes in the answer of a watch from a revision on.
func (f *feed) watched(objects []platform.Object, after, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inTouch = true
	if !f.known || after != f.revision {
		// It does not follow what is known; the next list will.
		f.known = f.known && after < f.revision
		return
	}
	for _, o := range objects {
		f.take(o, revision)
	}
	f.rise(revision)
}

// take takes in one change. The caller holds f.mu.
func (f *feed) take(o platform.Object, revision int64) {
	if o.Removed {
		delete(f.objects, o.Name)
	} else {
		f.objects[o.Name] = o
	}
	f.changes = append(f.changes, change{o, revision})
	if len(f.changes) > feedHistory {
		// A batch has one revision, and goes as a whole.
		f.since = f.changes[len(f.changes)-feedHistory-1].revision
		keep := 0
		for keep < len(f.changes) && f.changes[keep].revision <= f.since {
			keep++
		}
		f.changes = append([]change(nil), f.changes[keep:]...)
	}
}

// rise tells those who wait of a new revision. The caller holds f.mu.
func (f *feed) rise(revision int64) {
	if revision <= f.revision {
		return
	}
	f.revision = revision
	close(f.changed)
	f.changed = make(chan struct{})
}

// lost notes that the platform did not answer.
func (f *feed) lost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inTouch = false
}

// list returns all objects and their revision; false while they are not known or the
// platform does not answer.
func (f *feed) list() ([]platform.Object, int64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || !f.inTouch {
		return nil, 0, false
	}
	all := make([]platform.Object, 0, len(f.objects))
	for _, o := range f.objects {
		all = append(all, o)
	}
	return all, f.revision, true
}

// after waits until there are changes after a revision or ctx ends, and returns them.
// Its errors are ErrUnavailable and ErrCompacted of the platform package.
func (f *feed) after(ctx context.Context, revision int64) ([]platform.Object, int64, error) {
	for {
		objects, next, changed, err := f.look(revision)
		if err != nil || next > revision {
			return objects, next, err
		}
		select {
		case <-ctx.Done():
			return nil, revision, nil
		case <-changed:
		}
	}
}

// look returns the changes after a revision, and what is closed when there are more.
func (f *feed) look(revision int64) ([]platform.Object, int64, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.known || !f.inTouch:
		return nil, 0, nil, platform.ErrUnavailable
	case f.revision <= revision:
		// Whoever asks may know more than this feed.
		return nil, revision, f.changed, nil
	case revision < f.since:
		return nil, 0, nil, platform.ErrCompacted
	}
	var objects []platform.Object
	for _, c := range f.changes {
		if c.revision > revision {
			objects = append(objects, c.object)
		}
	}
	return objects, f.revision, nil, nil
}
