package objectwatch

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

// largeValue is a manifest of 590 groups with three databases each, and 2,800 workspaces with two
// keys each, in a version.
func largeValue(version int) []byte {
	r := rand.New(rand.NewPCG(1, 2))
	var b strings.Builder
	fmt.Fprintf(&b, `{"Version":%d,"Routes":[`, version)
	for n := range 3 * 590 {
		timeout := 800
		if n == 7*version {
			timeout += version
		}
		fmt.Fprintf(&b, `{"Name":"r-%x","Host":"h%x","Type":"primary","TimeoutMs":%d,"SloMs":250,"Priority":2,"Service":"s%d"},`,
			r.Uint32(), r.Uint32(), timeout, n/3)
	}
	b.WriteString(`{}],"Tenants":[`)
	for n := range 2800 {
		fmt.Fprintf(&b, `{"Name":"w%d","ApiKeys":["%016x%06x","%016x%06x"],"RatePerS":%d},`, n, r.Uint64(), r.Uint32()>>8, r.Uint64(), r.Uint32()>>8, 6+n)
	}
	b.WriteString(`{}]}`)
	return []byte(b.String())
}

func largeObject(version int) platform.Object {
	return platform.Object{Kind: platform.KindManifest, Name: platform.ManifestName, Version: int64(version), Revision: int64(version), Value: largeValue(version)}
}

// Guards against answers that unpack to something else than was packed.
func TestPackedObjectsComeBackWhole(t *testing.T) {
	is := is.New(t)
	small := platform.Object{Kind: platform.KindUpstreams, Name: "m", Revision: 3, Value: []byte(`{"a":1}`)}
	gone := platform.Object{Kind: platform.KindUpstreams, Name: "n", Revision: 4, Removed: true}
	first, second := largeObject(1), largeObject(2)
	for _, objects := range [][]platform.Object{{small, gone}, {first}, {second, small}, {}} {
		for _, base := range [][]byte{nil, first.Value, second.Value} {
			packed, err := pack(objects, base)
			is.NoErr(err)
			back, err := unpack(packed, base)
			is.NoErr(err)
			want, _ := json.Marshal(objects)
			got, _ := json.Marshal(back)
			is.Equal(strings.ReplaceAll(string(got), `"value":""`, `"value":null`), strings.ReplaceAll(string(want), `"value":""`, `"value":null`))
		}
	}
	_, err := unpack([]byte("no answer"), nil)
	is.True(err != nil)
	_, err = unpack([]byte("no answer"), first.Value)
	is.True(err != nil)
}

// Guards against a change of one route that costs as much as the whole manifest.
func TestChangeOfALargeManifestIsSmall(t *testing.T) {
	is := is.New(t)
	first, second := largeObject(1), largeObject(2)
	whole, err := pack([]platform.Object{second}, nil)
	is.NoErr(err)
	change, err := pack([]platform.Object{second}, first.Value)
	is.NoErr(err)
	t.Logf("a manifest of %d bytes: whole %d, its change %d", len(second.Value), len(whole), len(change))
	is.True(len(change) < len(whole)/20)
}

// narrowLinks sums up what readers send, and gives the time that it takes over a link of
// 10 Mbit/s.
const narrowLink = 10_000_000 / 8

// The load pattern is ten changes of a large manifest in quick succession, at a reader with 49
// followers on a link of 10 Mbit/s. Guards against a spread that takes longer than half of the
// five seconds that an operator waits.
func TestReaderSpreadsChangesOverANarrowLink(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.listed([]platform.Object{largeObject(1)}, 1, time.Now())
	var held heldObject
	held.note([]platform.Object{largeObject(1)})
	sent := 0
	for version := 2; version <= 11; version++ {
		f.watched([]platform.Object{largeObject(version)}, int64(version-1), int64(version))
		base := held.get()
		q := question{Kind: platform.KindManifest, After: int64(version - 1), Base: &baseRef{Name: base.Name, Revision: base.Revision}}
		var got answer
		for range 49 {
			objects, revision, err := f.after(context.Background(), q.After)
			is.NoErr(err)
			got, err = f.packed(objects, q.After, revision, q)
			is.NoErr(err)
			sent += len(got.Packed) * 4 / 3
		}
		is.True(got.OnBase)
		objects, err := unpack(got.Packed, base.Value)
		is.NoErr(err)
		is.Equal(string(objects[0].Value), string(largeValue(version)))
		held.note(objects)
	}
	needed := time.Duration(float64(sent) / narrowLink * float64(time.Second))
	t.Logf("%d bytes, %v", sent, needed)
	is.True(needed < 2500*time.Millisecond)
}

// Guards against a follower that is two versions behind and is given a change that it cannot
// unpack.
func TestFollowerFarBehindGetsTheWholeObject(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.listed([]platform.Object{largeObject(1)}, 1, time.Now())
	for version := 2; version <= 4; version++ {
		f.watched([]platform.Object{largeObject(version)}, int64(version-1), int64(version))
	}
	objects, revision, err := f.after(context.Background(), 1)
	is.NoErr(err)
	got, err := f.packed(objects, 1, revision, question{After: 1, Base: &baseRef{Name: platform.ManifestName, Revision: 1}})
	is.NoErr(err)
	is.True(!got.OnBase)
	back, err := unpack(got.Packed, nil)
	is.NoErr(err)
	is.Equal(len(back), 3)
}

// Guards against a feed that keeps hundreds of versions of a large manifest.
func TestFeedBoundsItsHistoryInBytes(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.listed([]platform.Object{largeObject(1)}, 1, time.Now())
	for version := 2; version <= 60; version++ {
		f.watched([]platform.Object{largeObject(version)}, int64(version-1), int64(version))
	}
	size := 0
	for _, c := range f.changes {
		size += len(c.object.Value)
	}
	is.Equal(size, f.historySize)
	is.True(size <= feedHistorySize)
	_, _, err := f.after(context.Background(), 2)
	is.Equal(err, platform.ErrCompacted)
	objects, _, err := f.after(context.Background(), 59)
	is.NoErr(err)
	is.Equal(len(objects), 1)
}
