package objectwatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// recordingSink records the calls of a Follower.
type recordingSink struct {
	values       map[string]string
	lists        int
	reachability []bool
}

// ApplyList implements Sink.
func (s *recordingSink) ApplyList(objects []platform.Object) {
	s.lists++
	clear(s.values)
	s.ApplyChanges(objects)
}

// ApplyChanges implements Sink.
func (s *recordingSink) ApplyChanges(objects []platform.Object) {
	for _, o := range objects {
		s.values[o.Name] = string(o.Value)
		if o.Removed {
			delete(s.values, o.Name)
		}
	}
}

// SetReachable implements Sink.
func (s *recordingSink) SetReachable(reachable bool) {
	s.reachability = append(s.reachability, reachable)
}

// startFollower starts a Follower. The returned function stops it.
func startFollower(api platform.API, sink Sink, check time.Duration) (stop func()) {
	w := New(Config{API: api, Kind: platform.KindGroup, Sink: sink, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 1)),
		Log: hclog.NewNullLogger(), CheckInterval: check})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func runFollower(t *testing.T, check time.Duration, f func(is *is.I, s *standin.Store, n *recordingSink)) {
	synctest.Test(t, func(t *testing.T) {
		store, sink := standin.NewStore(), &recordingSink{values: make(map[string]string)}
		defer startFollower(store, sink, check)()
		advance(time.Second)
		f(is.New(t), store, sink)
	})
}

func put(is *is.I, s *standin.Store, name, value string) {
	current, _ := s.Get(context.Background(), platform.KindGroup, name)
	_, err := s.Put(context.Background(), platform.KindGroup, name, []byte(value), current.Version)
	is.NoErr(err)
}

// Objects change, one is removed, and the history is compacted after a change that the watch
// missed. Every change is delivered, by the watch or by a new list.
func TestChangesAreDeliveredAfterCompaction(t *testing.T) {
	runFollower(t, 0, func(is *is.I, s *standin.Store, sink *recordingSink) {
		put(is, s, "a", "1")
		put(is, s, "b", "1")
		advance(time.Second)
		is.Equal(fmt.Sprint(sink.values), "map[a:1 b:1]")
		b, err := s.Get(context.Background(), platform.KindGroup, "b")
		is.NoErr(err)
		is.NoErr(s.Delete(context.Background(), platform.KindGroup, "b", b.Version))
		advance(time.Second)
		is.Equal(fmt.Sprint(sink.values), "map[a:1]")
		s.SetFaults(standin.Faults{Outage: true})
		advance(time.Second)
		s.SetFaults(standin.Faults{})
		put(is, s, "a", "2")
		s.Compact(platform.KindGroup)
		advance(2 * time.Second)
		is.Equal(fmt.Sprint(sink.values), "map[a:2]")
		is.Equal(sink.lists, 2)
		is.Equal(sink.reachability, []bool{true, false, true})
	})
}

// The watch returns no changes. Without checks a change is not delivered; with checks it is
// delivered within the check interval.
func TestChecksBoundTheDelayOfASilentWatch(t *testing.T) {
	for _, check := range []time.Duration{0, 2 * time.Second} {
		runFollower(t, check, func(is *is.I, s *standin.Store, sink *recordingSink) {
			s.SetFaults(standin.Faults{SuppressWatchEvents: true})
			put(is, s, "a", "1")
			advance(check + 100*time.Millisecond)
			is.Equal(sink.values["a"] == "1", check > 0)
		})
	}
}

// delayedLists returns lists some time after it has read them.
type delayedLists struct {
	platform.API
	delay time.Duration
}

// List implements platform.API.
func (s delayedLists) List(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error) {
	objects, revision, err := s.API.List(ctx, kind)
	time.Sleep(s.delay)
	return objects, revision, err
}

// An object is written while a list that was read earlier is still in transit. The watch
// delivers the object first, and then the list without it arrives. The object must stay known.
func TestListThatIsOlderTakesNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, sink := standin.NewStore(), &recordingSink{values: make(map[string]string)}
		w := New(Config{API: delayedLists{store, 500 * time.Millisecond}, Kind: platform.KindGroup, Sink: sink, Clock: clock.System{},
			Rand: rand.New(rand.NewPCG(1, 1)), Log: hclog.NewNullLogger(), CheckInterval: 2 * time.Second})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		// The check reads its list at 2 s and gets it half a second later.
		advance(2100 * time.Millisecond)
		put(is, store, "a", "1")
		advance(100 * time.Millisecond)
		is.Equal(sink.values["a"], "1")
		advance(time.Second)
		is.Equal(sink.values["a"], "1")
		cancel()
		<-done
	})
}

// The platform is down for a minute. It must be called about once a second, not in a tight loop.
func TestCallsBackOffInAnOutage(t *testing.T) {
	runFollower(t, 0, func(is *is.I, s *standin.Store, _ *recordingSink) {
		s.SetFaults(standin.Faults{Outage: true})
		// Until the platform answers, a watch begins with a read that asks for its era.
		attempts := func() int { return s.Calls()[standin.CallWatch] + s.Calls()[standin.CallGet] }
		before := attempts()
		advance(time.Minute)
		calls := attempts() - before
		is.True(calls < 130)
		is.True(calls > 50)
	})
}

// advance lets virtual time pass and waits until all goroutines are blocked, so that the sink
// can be read without a data race.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// fakePeers returns fixed changes up to a revision, or an error.
type fakePeers struct {
	changes  []platform.Object
	revision platform.Revision
	err      error
}

// ChangesSince implements Peers.
func (p *fakePeers) ChangesSince(context.Context, platform.Revision) ([]platform.Object, platform.Revision, error) {
	return p.changes, p.revision, p.err
}

// silentWatchAPI is a platform whose watches return no changes.
type silentWatchAPI struct{ platform.API }

// Watch implements platform.API.
func (silentWatchAPI) Watch(ctx context.Context, _ platform.Kind, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// Guards against a change that is never delivered because the watch misses it, and against a
// list of all objects for each change that peers report first.
func TestPeersTellWhatTheWatchMissed(t *testing.T) {
	for name, c := range map[string]struct {
		peers fakePeers
		lists int
	}{
		"they know of a change": {fakePeers{changes: []platform.Object{{Name: "a", Value: []byte("2"), Revision: platform.NewRevision(1, 50)}}, revision: platform.NewRevision(1, 50)}, 1},
		"they know of none":     {fakePeers{revision: platform.NewRevision(1, 1)}, 1},
		"they go back less far": {fakePeers{err: platform.ErrCompacted}, 2},
		"they cannot tell":      {fakePeers{err: errFeedUnavailable}, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, sink := standin.NewStore(), &recordingSink{values: make(map[string]string)}
			put(is, store, "a", "1")
			w := New(Config{API: silentWatchAPI{store}, Kind: platform.KindGroup, Sink: sink, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 1)),
				Log: hclog.NewNullLogger(), CheckInterval: 2 * time.Second, Peers: &c.peers})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				w.Run(ctx)
			}()
			time.Sleep(3 * time.Second)
			cancel()
			<-done
			if sink.lists != c.lists {
				t.Errorf("%s: listed %d times", name, sink.lists)
			}
			if len(c.peers.changes) > 0 {
				is.Equal(sink.values["a"], "2")
			}
		})
	}
}
