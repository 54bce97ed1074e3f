package objectwatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// Guards against followers that keep the state of an earlier era because they hear of a return
// only from their readers, and against a return that makes every instance list at the platform.
func TestDomainFollowsAReturnThroughItsReaders(t *testing.T) {
	for _, reused := range []int{0, 40} {
		t.Run(fmt.Sprint("changes in between: ", reused), func(t *testing.T) {
			runInDomain(t, 12, func(is *is.I, d *testDomain) {
				is.Equal(d.putAndCount(is, "kept", 5*time.Second), 12)
				is.Equal(d.putAndCount(is, "lost", time.Second), 12)
				before := d.store.Calls()[standin.CallList]
				d.store.ReturnFromCopy(3 * time.Second)
				for k := range reused {
					_, err := d.store.Put(context.Background(), platform.KindGroup, fmt.Sprint("other", k), []byte("{}"), 0)
					is.NoErr(err)
				}
				is.Equal(d.putAndCount(is, "new", time.Second), 12)
				for _, i := range d.instances {
					is.True(i.knows("kept"))
					is.True(!i.knows("lost"))
				}
				is.Equal(d.store.Calls()[standin.CallList]-before, readersPerDomain)
			})
		})
	}
}

// runChecked runs f in a failure domain of n instances that, as the manifest's followers do, check
// every two seconds. prepare may change an instance's follower.
func runChecked(t *testing.T, n int, prepare func(i *testInstance, api *SharedAPI), f func(is *is.I, d *testDomain)) {
	const check = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newTestDomain(n)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for k, i := range d.instances {
			follower := d.newFollower(k, countedAPI{i.view, i}, check, check+300*time.Millisecond)
			prepare(i, follower.API.(*SharedAPI))
			// Every instance writes its own entry and so knows the era.
			_, err := i.view.Get(ctx, platform.KindInstances, i.id)
			is.Equal(err, platform.ErrNotFound)
			running.Go(func() { follower.Run(ctx) })
		}
		time.Sleep(time.Second)
		f(is, d)
		cancel()
		running.Wait()
	})
}

// changeBound is the time within which a change must be known everywhere.
const changeBound = 3 * time.Second

// Guards against changes that followers do not get while one of their readers has not seen the
// return and still has the objects of the earlier era.
func TestReaderOfAnEarlierEraIsNotFollowed(t *testing.T) {
	runChecked(t, 12, func(*testInstance, *SharedAPI) {}, func(is *is.I, d *testDomain) {
		is.Equal(d.putAndCount(is, "kept", 5*time.Second), 12)
		is.Equal(d.putAndCount(is, "lost", time.Second), 12)
		d.instances[0].view.Freeze()
		d.store.ReturnFromCopy(3 * time.Second)
		is.Equal(d.putAndCount(is, "new", changeBound), 11)
		for _, i := range d.instances[1:] {
			is.True(!i.knows("lost"))
		}
		d.instances[0].view.Thaw()
	})
}

// eralessCaller strips the eras from the calls to an instance, as a build without eras ignores them
// and names none.
type eralessCaller struct {
	peer.Caller
	address string
}

// Call implements peer.Caller.
func (c eralessCaller) Call(ctx context.Context, address, method string, params, result any) error {
	req, ok := params.(request)
	if !ok || address != c.address {
		return c.Caller.Call(ctx, address, method, params, result)
	}
	req.Era = 0
	err := c.Caller.Call(ctx, address, method, req, result)
	if got, ok := result.(*response); ok {
		got.Era = 0
	}
	return err
}

// Guards against followers that take the objects of a reader of an earlier build, which does not
// know eras, for those of the present era.
func TestReaderOfAnEarlierBuildIsNotFollowed(t *testing.T) {
	useEarlierBuild := func(i *testInstance, api *SharedAPI) {
		if i.id == "i0" {
			i.view.IgnoreEras()
			return
		}
		api.sharing.Caller = eralessCaller{api.sharing.Caller, "i0"}
	}
	runChecked(t, 8, useEarlierBuild, func(is *is.I, d *testDomain) {
		is.Equal(d.putAndCount(is, "kept", 5*time.Second), 8)
		for k := range 5 {
			is.Equal(d.putAndCount(is, fmt.Sprint("lost", k), 100*time.Millisecond), 8)
		}
		d.store.ReturnFromCopy(2 * time.Second)
		d.putAndCount(is, "new", changeBound)
		for _, i := range d.instances[1:] {
			is.True(i.knows("new"))
		}
	})
}

// Guards against followers of an earlier build, which do not name eras, that get nothing from a
// reader of this build.
func TestFollowerOfAnEarlierBuildIsServed(t *testing.T) {
	runInDomain(t, 8, func(is *is.I, d *testDomain) {
		is.Equal(d.putAndCount(is, "first", time.Second), 8)
		caller := d.net.Endpoint("earlier build")
		var list response
		is.NoErr(caller.Call(context.Background(), "i0", methodList, request{Kind: platform.KindUpstreams}, &list))
		time.AfterFunc(time.Second, func() { d.putAndCount(is, "second", 0) })
		var changes response
		is.NoErr(caller.Call(context.Background(), "i0", methodAfter, request{Kind: platform.KindUpstreams, After: list.Revision}, &changes))
		is.True(!changes.Compacted)
		objects, err := decodeObjects(changes.Encoded, nil, changes.Era)
		is.NoErr(err)
		is.Equal(len(objects), 1)
		is.Equal(objects[0].Name, "second")
	})
}

// Guards against a delta that is applied to another value which has the same number in another
// era.
func TestDeltaBaseOfAnotherEraIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := newFeed()
	inEra := func(era int64, version int) platform.Object {
		o := largeObject(version)
		o.Revision = platform.NewRevision(era, 7)
		return o
	}
	f.applyList([]platform.Object{inEra(1, 1)}, platform.NewRevision(1, 7), clock.System{}.Now())
	earlier := newVersionRef(inEra(1, 1))
	is.Equal(string(f.baseValue(earlier)), string(largeObject(1).Value))
	f.applyList([]platform.Object{inEra(2, 2)}, platform.NewRevision(2, 7), clock.System{}.Now())
	is.Equal(string(f.baseValue(earlier)), string(largeObject(1).Value))
	is.Equal(string(f.baseValue(newVersionRef(inEra(2, 2)))), string(largeObject(2).Value))
	_, _, _, err := f.changesAfter(platform.NewRevision(1, 7))
	is.Equal(err, platform.ErrCompacted)
	_, _, _, err = f.changesAfter(platform.NewRevision(3, 1))
	is.Equal(err, platform.ErrUnavailable)
}
