package objectwatch

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

// entryAt returns an object that was last changed at a revision.
func entryAt(name string, revision int64) platform.Object {
	return platform.Object{Kind: platform.KindInstances, Name: name, Revision: platform.NewRevision(0, revision), Value: []byte(`{}`)}
}

// The instances of a new fleet have one list, and their reader lists again. Guards against followers
// that all list again because the reader's history begins with its own list.
func TestReaderHasChangesSinceTheProvidedList(t *testing.T) {
	is := is.New(t)
	provided := snapshot{objects: []platform.Object{entryAt("a", 3), entryAt("b", 4), entryAt("gone", 5)}, revision: platform.NewRevision(0, 5), valid: true}
	f := newFeed()
	f.applyBase(provided, platform.NewRevision(0, 9))
	f.applyList([]platform.Object{entryAt("a", 3), entryAt("b", 8), entryAt("new", 9)}, platform.NewRevision(0, 9), time.Unix(1, 0))
	changed, to, _, err := f.changesAfter(platform.NewRevision(0, 5))
	is.NoErr(err)
	is.Equal(to, platform.NewRevision(0, 9))
	seen := make(map[string]bool)
	for _, o := range changed {
		seen[o.Name] = o.Removed
	}
	is.Equal(seen, map[string]bool{"b": false, "new": false, "gone": true})
	_, _, _, err = f.changesAfter(platform.NewRevision(0, 4))
	is.True(errors.Is(err, platform.ErrCompacted))
	// A feed that has a list does not start anew.
	f.applyBase(provided, platform.NewRevision(0, 9))
	_, to, _, err = f.changesAfter(platform.NewRevision(0, 8))
	is.NoErr(err)
	is.Equal(to, platform.NewRevision(0, 9))
}

// Guards against the loss of the reader's list where the store returned from a copy after the
// provided list.
func TestListOfALaterEraReplacesTheProvidedList(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.applyBase(snapshot{objects: []platform.Object{entryAt("a", 3)}, revision: platform.NewRevision(1, 5), valid: true}, platform.NewRevision(2, 2))
	f.applyList([]platform.Object{entryAt("b", 2)}, platform.NewRevision(2, 2), time.Unix(1, 0))
	list := f.snapshot()
	is.Equal(len(list.objects), 1)
	is.Equal(list.objects[0].Name, "b")
}

// A follower that becomes a reader has missed a change that its watch did not show, and the platform's
// list has the same revision. Guards against a feed that keeps the object without the change.
func TestListOfTheSameRevisionReplacesTheBase(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.applyBase(snapshot{objects: []platform.Object{entryAt("a", 3)}, revision: platform.NewRevision(0, 9), valid: true}, platform.NewRevision(0, 9))
	f.applyList([]platform.Object{entryAt("a", 8)}, platform.NewRevision(0, 9), time.Unix(1, 0))
	list := f.snapshot()
	is.Equal(len(list.objects), 1)
	is.Equal(list.objects[0].Revision, platform.NewRevision(0, 8))
}
