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

// largeValue returns one version of a manifest with 590 groups of three databases each, and
// 2,800 workspaces with two keys each.
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
	return platform.Object{Kind: platform.KindManifest, Name: platform.ManifestName, Version: platform.Revision(version), Revision: platform.Revision(version), Value: largeValue(version)}
}

// Guards against responses that decode to something other than what was encoded.
func TestEncodedObjectsRoundTrip(t *testing.T) {
	is := is.New(t)
	small := platform.Object{Kind: platform.KindUpstreams, Name: "m", Revision: 3, Value: []byte(`{"a":1}`)}
	removed := platform.Object{Kind: platform.KindUpstreams, Name: "n", Revision: 4, Removed: true}
	first, second := largeObject(1), largeObject(2)
	for _, objects := range [][]platform.Object{{small, removed}, {first}, {second, small}, {}} {
		for _, base := range [][]byte{nil, first.Value, second.Value} {
			encoded, err := encodeObjects(objects, base)
			is.NoErr(err)
			decoded, err := decodeObjects(encoded, base, 0)
			is.NoErr(err)
			want, _ := json.Marshal(objects)
			got, _ := json.Marshal(decoded)
			is.Equal(strings.ReplaceAll(string(got), `"value":""`, `"value":null`), strings.ReplaceAll(string(want), `"value":""`, `"value":null`))
		}
	}
	_, err := decodeObjects([]byte("no answer"), nil, 0)
	is.True(err != nil)
	_, err = decodeObjects([]byte("no answer"), first.Value, 0)
	is.True(err != nil)
}

// Guards against a change of one route that is as large as the whole manifest.
func TestDeltaOfALargeManifestIsSmall(t *testing.T) {
	is := is.New(t)
	first, second := largeObject(1), largeObject(2)
	full, err := encodeObjects([]platform.Object{second}, nil)
	is.NoErr(err)
	delta, err := encodeObjects([]platform.Object{second}, first.Value)
	is.NoErr(err)
	t.Logf("a manifest of %d bytes: encoded in full %d, as a delta %d", len(second.Value), len(full), len(delta))
	is.True(len(delta) < len(full)/20)
}

// narrowLinkRate is the rate of a link of 10 Mbit/s, in bytes per second.
const narrowLinkRate = 10_000_000 / 8

// Load pattern: ten changes of a large manifest in quick succession, at a reader with 49
// followers on a link of 10 Mbit/s. Guards against changes that take more than half of the five
// seconds an operator waits to reach all followers.
func TestReaderSpreadsChangesOverANarrowLink(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.applyList([]platform.Object{largeObject(1)}, 1, time.Now())
	var known deltaBase
	known.update([]platform.Object{largeObject(1)})
	sent := 0
	for version := 2; version <= 11; version++ {
		f.applyWatch([]platform.Object{largeObject(version)}, platform.Revision(version-1), platform.Revision(version))
		base := known.get()
		req := request{Kind: platform.KindManifest, After: int64(version - 1), DeltaBase: newVersionRef(base)}
		var got response
		for range 49 {
			objects, revision, err := f.waitForChanges(context.Background(), req.after())
			is.NoErr(err)
			got, err = f.encodeResponse(objects, req.after(), revision, req)
			is.NoErr(err)
			sent += len(got.Encoded) * 4 / 3
		}
		is.True(got.Delta)
		objects, err := decodeObjects(got.Encoded, base.Value, 0)
		is.NoErr(err)
		is.Equal(string(objects[0].Value), string(largeValue(version)))
		known.update(objects)
	}
	needed := time.Duration(float64(sent) / narrowLinkRate * float64(time.Second))
	t.Logf("%d bytes, %v", sent, needed)
	is.True(needed < 2500*time.Millisecond)
}

// Guards against a delta that a follower two versions behind cannot decode.
func TestFollowerFarBehindGetsTheWholeObject(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.applyList([]platform.Object{largeObject(1)}, 1, time.Now())
	for version := 2; version <= 4; version++ {
		f.applyWatch([]platform.Object{largeObject(version)}, platform.Revision(version-1), platform.Revision(version))
	}
	objects, revision, err := f.waitForChanges(context.Background(), 1)
	is.NoErr(err)
	got, err := f.encodeResponse(objects, 1, revision, request{After: 1, DeltaBase: &versionRef{Name: platform.ManifestName, Revision: 1}})
	is.NoErr(err)
	is.True(!got.Delta)
	decoded, err := decodeObjects(got.Encoded, nil, 0)
	is.NoErr(err)
	is.Equal(len(decoded), 3)
}

// Guards against a feed that keeps hundreds of versions of a large manifest.
func TestFeedBoundsItsHistoryInBytes(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	f.applyList([]platform.Object{largeObject(1)}, 1, time.Now())
	for version := 2; version <= 60; version++ {
		f.applyWatch([]platform.Object{largeObject(version)}, platform.Revision(version-1), platform.Revision(version))
	}
	size := 0
	for _, c := range f.changes {
		size += len(c.object.Value)
	}
	is.Equal(size, f.historyBytes)
	is.True(size <= maxHistoryBytes)
	_, _, err := f.waitForChanges(context.Background(), 2)
	is.Equal(err, platform.ErrCompacted)
	objects, _, err := f.waitForChanges(context.Background(), 59)
	is.NoErr(err)
	is.Equal(len(objects), 1)
}
