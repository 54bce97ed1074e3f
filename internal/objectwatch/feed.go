package objectwatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

// feedHistory is how many changes a feed keeps: those of some minutes, so that whoever
// follows it is told what changed and need not list all again.
const feedHistory = 512

// feedHistorySize bounds the values of the changes that a feed keeps, in bytes. A manifest may
// have a megabyte, and changes often.
const feedHistorySize = 4 << 20

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
	// revision is that of the last change that is known.
	revision int64
	// provenAt is when the last list was asked for that the platform answered. A watch
	// proves nothing: it may hear of no change for seconds.
	provenAt time.Time
	// changes are the last ones, oldest first, all after the revision since.
	changes []change
	since   int64
	// changed is closed and replaced when the revision rises.
	changed chan struct{}
	// before holds the value of each large object in front of its last change.
	before map[string]platform.Object
	// historySize is the size of the values of changes, in bytes.
	historySize int

	// packing guards packs. It is not held together with mu.
	packing sync.Mutex
	packs   packs
}

func newFeed() *feed {
	return &feed{objects: make(map[string]platform.Object), before: make(map[string]platform.Object), changed: make(chan struct{})}
}

// listed takes in a list of all objects that was asked for at a time.
func (f *feed) listed(objects []platform.Object, revision int64, asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inTouch = true
	if asked.After(f.provenAt) {
		f.provenAt = asked
	}
	if !f.known {
		f.begin(objects, revision)
		return
	}
	if revision > f.revision {
		f.catchUp(objects, revision)
	}
}

// begin starts the feed with a list. The caller holds f.mu.
func (f *feed) begin(objects []platform.Object, revision int64) {
	f.known = true
	clear(f.objects)
	for _, o := range objects {
		f.objects[o.Name] = o
	}
	f.changes, f.since, f.historySize = nil, revision, 0
	f.rise(revision)
}

// catchUp takes in what a list shows and no watch has told. A list that shows nothing new
// changes nothing, so that followers are not woken by it. The caller holds f.mu.
func (f *feed) catchUp(objects []platform.Object, revision int64) {
	listed := make(map[string]bool, len(objects))
	var news []platform.Object
	for _, o := range objects {
		listed[o.Name] = true
		if held, ok := f.objects[o.Name]; !ok || held.Revision != o.Revision {
			news = append(news, o)
		}
	}
	for name, held := range f.objects {
		if !listed[name] {
			news = append(news, platform.Object{Kind: held.Kind, Name: name, Revision: revision, Removed: true})
		}
	}
	if len(news) == 0 {
		return
	}
	for _, o := range news {
		f.take(o, revision)
	}
	f.rise(revision)
}

// watched takes in the answer of a watch from a revision on.
func (f *feed) watched(objects []platform.Object, after, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inTouch = true
	if after > f.revision {
		// It does not follow what is known; the next list will.
		f.known = false
	}
	if !f.known || revision < f.revision {
		return
	}
	// Changes that a list has shown before are told once more, in their order, and
	// end at the same objects.
	for _, o := range objects {
		f.take(o, revision)
	}
	f.rise(revision)
}

// take takes in one change. The caller holds f.mu.
func (f *feed) take(o platform.Object, revision int64) {
	if held, ok := f.objects[o.Name]; ok && len(held.Value) >= leastBase && held.Revision != o.Revision {
		f.before[o.Name] = held
	}
	if o.Removed {
		delete(f.objects, o.Name)
		delete(f.before, o.Name)
	} else {
		f.objects[o.Name] = o
	}
	f.changes = append(f.changes, change{o, revision})
	f.historySize += len(o.Value)
	for len(f.changes) > f.historyLength() || f.historySize > feedHistorySize && len(f.changes) > 1 {
		f.dropOldest()
	}
}

// historyLength is how many changes are kept: those of some minutes, and as many as there are
// objects, which may all change within seconds.
func (f *feed) historyLength() int { return max(feedHistory, len(f.objects)) }

// dropOldest drops the oldest changes. A batch has one revision, and goes as a whole. The caller
// holds f.mu.
func (f *feed) dropOldest() {
	f.since = f.changes[0].revision
	dropped := 0
	for dropped < len(f.changes) && f.changes[dropped].revision <= f.since {
		f.historySize -= len(f.changes[dropped].object.Value)
		dropped++
	}
	f.changes = slices.Delete(f.changes, 0, dropped)
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

// age returns how long ago the platform showed that there is no more than what is known.
func (f *feed) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.provenAt)
}

// list returns all objects; none are known while the platform does not answer.
func (f *feed) list() knownList {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || !f.inTouch {
		return knownList{}
	}
	return newKnownList(f.objects, f.revision, f.provenAt)
}

// awaitKnown waits until the objects are known here, or learned is closed, for a time at most.
func (f *feed) awaitKnown(ctx context.Context, k clock.Clock, limit time.Duration, learned <-chan struct{}) {
	f.mu.Lock()
	known, changed := f.known, f.changed
	f.mu.Unlock()
	if known {
		return
	}
	timer := k.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	case <-learned:
	}
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

// valueOf returns the value of one version of an object, the present one or the one before it;
// nil if it is not held.
func (f *feed) valueOf(r *baseRef) []byte {
	if r == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range []platform.Object{f.objects[r.Name], f.before[r.Name]} {
		if o.Name == r.Name && o.Revision == r.Revision {
			return o.Value
		}
	}
	return nil
}

// packed returns objects packed for whoever asks with a question, from a revision to another.
func (f *feed) packed(objects []platform.Object, from, to int64, q question) (answer, error) {
	k := packKey{from: from, to: to}
	base := f.valueOf(q.Base)
	if len(base) > 0 {
		k.base = *q.Base
	}
	f.packing.Lock()
	defer f.packing.Unlock()
	bytes, err := f.packs.get(k, objects, base)
	if err != nil {
		return answer{}, err
	}
	return answer{Packed: bytes, OnBase: len(base) > 0, Revision: to}, nil
}
