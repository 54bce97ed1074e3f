package objectwatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

// A follower asks for changes that are no longer in the feed's history. It must get ErrCompacted
// and list again: if it got only the later changes, objects that were removed in between would
// stay in its list forever.
func TestFeedReportsCompactedHistory(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.applyList(nil, 10, time.Time{})
	for k := range platform.Revision(feedHistoryLength + 20) {
		f.applyWatch([]platform.Object{{Name: fmt.Sprint("m", k%3)}}, 10+k, 11+k)
	}
	_, _, err := f.waitForChanges(context.Background(), 10)
	is.True(errors.Is(err, platform.ErrCompacted))
	objects, next, err := f.waitForChanges(context.Background(), 10+feedHistoryLength)
	is.NoErr(err)
	is.Equal(next, platform.Revision(10+feedHistoryLength+20))
	is.Equal(len(objects), 20)
}

// The response to a watch does not continue from the feed's revision, because another list came
// in between. The feed must return nothing until the next list, rather than a list with a gap.
func TestFeedReturnsNothingAfterAGap(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.applyList([]platform.Object{{Name: "a"}}, 10, time.Time{})
	f.applyWatch([]platform.Object{{Name: "c"}}, 12, 13)
	is.True(!f.snapshot().valid)
	f.applyList([]platform.Object{{Name: "a"}, {Name: "b"}, {Name: "c"}}, 13, time.Time{})
	list := f.snapshot()
	is.True(list.valid)
	is.Equal(len(list.objects), 3)
	is.Equal(list.revision, platform.Revision(13))
}

// A watch misses changes for a while, and a list reveals them: one object changed and one was
// removed. Followers of the feed get exactly these two changes; a list without changes wakes no
// follower.
func TestFeedTellsWhatAListShows(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	first := time.Unix(100, 0)
	f.applyList([]platform.Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}, {Name: "c", Revision: 5}}, 10, first)
	f.applyList([]platform.Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}, {Name: "c", Revision: 5}}, 20, first.Add(time.Second))
	_, revision, _, err := f.changesAfter(10)
	is.NoErr(err)
	is.Equal(revision, platform.Revision(10))
	is.Equal(f.age(first.Add(3*time.Second)), 2*time.Second)
	f.applyList([]platform.Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 25}}, 30, first.Add(2*time.Second))
	objects, next, err := f.waitForChanges(context.Background(), 10)
	is.NoErr(err)
	is.Equal(next, platform.Revision(30))
	is.Equal(len(objects), 2)
	is.Equal(objects[0].Name, "b")
	is.True(objects[1].Removed)
	is.Equal(objects[1].Name, "c")
}

// A list overtakes a watch in progress. The feed applies the changes of the watch that go beyond
// the list; the repeated ones have no effect.
func TestFeedAppliesWatchOvertakenByList(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.applyList([]platform.Object{{Name: "a", Revision: 3}}, 10, time.Time{})
	f.applyList([]platform.Object{{Name: "a", Revision: 12}}, 12, time.Time{})
	f.applyWatch([]platform.Object{{Name: "a", Revision: 12}, {Name: "b", Revision: 14}}, 10, 14)
	list := f.snapshot()
	is.True(list.valid)
	is.Equal(list.revision, platform.Revision(14))
	is.Equal(len(list.objects), 2)
}
