package objectwatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

// feedHistoryLength is the number of changes in a feed's history. It is higher if there are more
// objects than that, and lower if maxHistoryBytes is reached. The history covers some minutes, so
// that followers can usually resume from their revision and need not list all objects again.
const feedHistoryLength = 512

// maxHistoryBytes limits the total size of the values in a feed's history, in bytes. A manifest
// can be a megabyte in size and change often.
const maxHistoryBytes = 4 << 20

// change is a change of one object, with the revision of the platform's response that contained
// it.
type change struct {
	object   platform.Object
	revision platform.Revision
}

// feed holds the objects and recent changes of one kind, as received from the platform's lists
// and watches, and serves them to other instances.
type feed struct {
	mu sync.Mutex
	// loaded reports whether the objects were listed, reachable whether the last call to the
	// platform succeeded.
	loaded, reachable bool
	objects           map[string]platform.Object
	// revision is the revision of the last known change.
	revision platform.Revision
	// listed is the revision of the latest list. All changes up to it are known.
	listed platform.Revision
	// asOf is the send time of the latest request for a list that the platform answered. Watches
	// do not advance it: a watch may miss changes for seconds.
	asOf time.Time
	// changes is the history, oldest first. It holds all changes after the revision
	// historyStart.
	changes      []change
	historyStart platform.Revision
	// advanced is closed and replaced when revision increases.
	advanced chan struct{}
	// previous holds the preceding version of each large object.
	previous map[string]platform.Object
	// historyBytes is the total size of the values in changes, in bytes.
	historyBytes int

	// cacheMu guards cache. It is not held together with mu.
	cacheMu sync.Mutex
	cache   responseCache
}

func newFeed() *feed {
	return &feed{objects: make(map[string]platform.Object), previous: make(map[string]platform.Object), advanced: make(chan struct{})}
}

// applyList updates the feed with a list of all objects that was requested at requestedAt.
func (f *feed) applyList(objects []platform.Object, revision platform.Revision, requestedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision.Era() < f.revision.Era() {
		return
	}
	f.reachable = true
	if requestedAt.After(f.asOf) {
		f.asOf = requestedAt
	}
	if !f.loaded || revision.Era() > f.revision.Era() {
		f.reset(objects, revision)
		return
	}
	f.listed = max(f.listed, revision)
	if revision > f.revision {
		f.applyListDiff(objects, revision)
	}
}

// applyBase gives a feed that has no list yet an earlier one to start from, so that followers that
// have the earlier list get the changes since then. The list from the platform of the given revision
// must follow; a base of that revision may lack a change that the list shows.
func (f *feed) applyBase(base snapshot, listed platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded || !base.valid || base.revision >= listed {
		return
	}
	f.reset(base.objects, base.revision)
	f.asOf = base.asOf
}

// reset starts the feed anew from a list. Large objects that it replaces remain the base of deltas.
// The caller holds f.mu.
func (f *feed) reset(objects []platform.Object, revision platform.Revision) {
	f.loaded = true
	f.listed = revision
	clear(f.previous)
	for name, o := range f.objects {
		if len(o.Value) >= minBaseBytes {
			f.previous[name] = o
		}
	}
	clear(f.objects)
	for _, o := range objects {
		f.objects[o.Name] = o
	}
	f.changes, f.historyStart, f.historyBytes = nil, revision, 0
	f.advanceRevision(revision)
}

// applyListDiff records the changes that a list shows and no watch has reported. A list without
// changes leaves the revision as it is, so that followers are not woken. The caller holds f.mu.
func (f *feed) applyListDiff(objects []platform.Object, revision platform.Revision) {
	listed := make(map[string]bool, len(objects))
	var changes []platform.Object
	for _, o := range objects {
		listed[o.Name] = true
		if current, ok := f.objects[o.Name]; !ok || current.Revision != o.Revision {
			changes = append(changes, o)
		}
	}
	for name, current := range f.objects {
		if !listed[name] {
			changes = append(changes, platform.Object{Kind: current.Kind, Name: name, Revision: revision, Removed: true})
		}
	}
	if len(changes) == 0 {
		return
	}
	for _, o := range changes {
		f.applyChange(o, revision)
	}
	f.advanceRevision(revision)
}

// applyWatch updates the feed with the response to a watch that resumed from the
// revision after.
func (f *feed) applyWatch(objects []platform.Object, after, revision platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reachable = true
	if after > f.revision && after > f.listed {
		// There is a gap between the known revision and this response; wait for the next list.
		f.loaded = false
	}
	if !f.loaded || revision < f.revision {
		return
	}
	// Changes that a list has already shown are recorded again, in their order, and lead to the
	// same objects.
	for _, o := range objects {
		f.applyChange(o, revision)
	}
	f.advanceRevision(revision)
}

// applyChange records one change. The caller holds f.mu.
func (f *feed) applyChange(o platform.Object, revision platform.Revision) {
	if current, ok := f.objects[o.Name]; ok && len(current.Value) >= minBaseBytes && current.Revision != o.Revision {
		f.previous[o.Name] = current
	}
	if o.Removed {
		delete(f.objects, o.Name)
		delete(f.previous, o.Name)
	} else {
		f.objects[o.Name] = o
	}
	f.changes = append(f.changes, change{o, revision})
	f.historyBytes += len(o.Value)
	for len(f.changes) > f.maxChanges() || f.historyBytes > maxHistoryBytes && len(f.changes) > 1 {
		f.dropOldest()
	}
}

// maxChanges returns how many changes the history holds: enough for some minutes, and at least
// one for each object, since all objects may change within seconds.
func (f *feed) maxChanges() int { return max(feedHistoryLength, len(f.objects)) }

// dropOldest drops the oldest changes. All changes of one revision are dropped together. The
// caller holds f.mu.
func (f *feed) dropOldest() {
	f.historyStart = f.changes[0].revision
	dropped := 0
	for dropped < len(f.changes) && f.changes[dropped].revision <= f.historyStart {
		f.historyBytes -= len(f.changes[dropped].object.Value)
		dropped++
	}
	f.changes = slices.Delete(f.changes, 0, dropped)
}

// advanceRevision sets the revision if it is a later one, and wakes the waiting requests. The
// caller holds f.mu.
func (f *feed) advanceRevision(revision platform.Revision) {
	if revision <= f.revision {
		return
	}
	f.revision = revision
	close(f.advanced)
	f.advanced = make(chan struct{})
}

// markUnreachable records that the platform did not respond.
func (f *feed) markUnreachable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reachable = false
}

// age returns the time since the last list on which the feed is based was requested.
func (f *feed) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.asOf)
}

// isLoaded reports whether the feed has a list and all changes since.
func (f *feed) isLoaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// snapshot returns all objects. The snapshot is not valid before the first list and while the
// platform is unreachable.
func (f *feed) snapshot() snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || !f.reachable {
		return snapshot{}
	}
	return newSnapshot(f.objects, f.revision, f.asOf)
}

// waitForList waits until the feed is loaded, relayedCh is closed, or the limit has passed.
func (f *feed) waitForList(ctx context.Context, c clock.Clock, limit time.Duration, relayedCh <-chan struct{}) {
	f.mu.Lock()
	loaded, advanced := f.loaded, f.advanced
	f.mu.Unlock()
	if loaded {
		return
	}
	timer := c.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-advanced:
	case <-relayedCh:
	}
}

// waitForChanges waits until there are changes after a revision, and returns them. It returns
// none if ctx ends first. Its errors are platform.ErrUnavailable and platform.ErrCompacted.
func (f *feed) waitForChanges(ctx context.Context, revision platform.Revision) ([]platform.Object, platform.Revision, error) {
	for {
		objects, next, advanced, err := f.changesAfter(revision)
		if err != nil || next > revision {
			return objects, next, err
		}
		select {
		case <-ctx.Done():
			return nil, revision, nil
		case <-advanced:
		}
	}
}

// era returns the era of the store that the feed follows.
func (f *feed) era() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision.Era()
}

// changesAfter returns the changes after a revision, and with platform.ErrCompacted the feed's
// revision. A feed that has not seen the revision's era yet is unavailable. If there are none yet, it returns a channel
// that is closed when the revision advances.
func (f *feed) changesAfter(revision platform.Revision) ([]platform.Object, platform.Revision, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.loaded || !f.reachable || revision.Era() > f.revision.Era():
		return nil, 0, nil, platform.ErrUnavailable
	case f.revision <= revision:
		// The requester may have a later revision than this feed.
		return nil, revision, f.advanced, nil
	case revision < f.historyStart:
		return nil, f.revision, nil, platform.ErrCompacted
	}
	var objects []platform.Object
	for _, c := range f.changes {
		if c.revision > revision {
			objects = append(objects, c.object)
		}
	}
	return objects, f.revision, nil, nil
}

// baseValue returns the value of the given version of an object if it is the current or the
// previous one, and nil otherwise.
func (f *feed) baseValue(r *versionRef) []byte {
	if r == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range []platform.Object{f.objects[r.Name], f.previous[r.Name]} {
		if o.Name == r.Name && o.Revision == r.revision() {
			return o.Value
		}
	}
	return nil
}

// encodeResponse returns a response to req with the objects that changed between the revisions
// from and to, or with all objects if from is fullList. It is delta-encoded if the feed has the
// requester's base.
func (f *feed) encodeResponse(objects []platform.Object, from, to platform.Revision, req request) (response, error) {
	key := responseKey{from: from, to: to}
	base := f.baseValue(req.DeltaBase)
	if len(base) > 0 {
		key.base = *req.DeltaBase
	}
	f.cacheMu.Lock()
	defer f.cacheMu.Unlock()
	encoded, err := f.cache.getOrEncode(key, objects, base)
	if err != nil {
		return response{}, err
	}
	return response{Encoded: encoded, Delta: len(base) > 0, Revision: to.Number(), Era: to.Era()}, nil
}
