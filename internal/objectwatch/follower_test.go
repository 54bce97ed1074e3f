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

// noted keeps what a sink is told.
type recordingSink struct {
	values       map[string]string
	lists        int
	reachability []bool
}

// Listed implements Sink.
func (s *recordingSink) Listed(objects []platform.Object) {
	s.lists++
	clear(s.values)
	s.Changed(objects)
}

// Changed implements Sink.
func (s *recordingSink) Changed(objects []platform.Object) {
	for _, o := range objects {
		s.values[o.Name] = string(o.Value)
		if o.Removed {
			delete(s.values, o.Name)
		}
	}
}

// Touch implements Sink.
func (s *recordingSink) Touch(inTouch bool) { s.reachability = append(s.reachability, inTouch) }

func runFollower(t *testing.T, check time.Duration, f func(is *is.I, s *standin.Store, n *recordingSink)) {
	synctest.Test(t, func(t *testing.T) {
		store, n := standin.NewStore(), &recordingSink{values: make(map[string]string)}
		w := New(Config{API: store, Kind: platform.KindGroup, Sink: n, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 1)),
			Log: hclog.NewNullLogger(), Check: check})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		advance(time.Second)
		f(is.New(t), store, n)
		cancel()
		<-done
	})
}

func put(is *is.I, s *standin.Store, name, value string) {
	current, _ := s.Get(context.Background(), platform.KindGroup, name)
	_, err := s.Put(context.Background(), platform.KindGroup, name, []byte(value), current.Version)
	is.NoErr(err)
}

// Objects change, one is removed, and the history is dropped behind a change that was
// not heard. All is told, by the watch or by a new list.
func TestChangesAreDeliveredAfterCompaction(t *testing.T) {
	runFollower(t, 0, func(is *is.I, s *standin.Store, n *recordingSink) {
		put(is, s, "a", "1")
		put(is, s, "b", "1")
		advance(time.Second)
		is.Equal(fmt.Sprint(n.values), "map[a:1 b:1]")
		is.NoErr(s.Delete(context.Background(), platform.KindGroup, "b", 1))
		advance(time.Second)
		is.Equal(fmt.Sprint(n.values), "map[a:1]")
		s.SetFaults(standin.Faults{Outage: true})
		advance(time.Second)
		s.SetFaults(standin.Faults{})
		put(is, s, "a", "2")
		s.Compact(platform.KindGroup)
		advance(2 * time.Second)
		is.Equal(fmt.Sprint(n.values), "map[a:2]")
		is.Equal(n.lists, 2)
		is.Equal(n.reachability, []bool{true, false, true})
	})
}

// The watch is deaf. Without a check nothing is told; with one, a change is told within
// its interval.
func TestChecksBoundTheDelayOfASilentWatch(t *testing.T) {
	for _, check := range []time.Duration{0, 2 * time.Second} {
		runFollower(t, check, func(is *is.I, s *standin.Store, n *recordingSink) {
			s.SetFaults(standin.Faults{DeafWatches: true})
			put(is, s, "a", "1")
			advance(check + 100*time.Millisecond)
			is.Equal(n.values["a"] == "1", check > 0)
		})
	}
}

// delayedLists answers lists some time after they were read.
type delayedLists struct {
	platform.API
	delay time.Duration
}

// List implements platform.API.
func (s delayedLists) List(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error) {
	objects, revision, err := s.API.List(ctx, kind)
	time.Sleep(s.delay)
	return objects, revision, err
}

// An object is written while a list that was read before it is still on its way. The watch
// tells of the object first, and then the list comes, which lacks it. The object stays known.
func TestListThatIsOlderTakesNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, n := standin.NewStore(), &recordingSink{values: make(map[string]string)}
		w := New(Config{API: delayedLists{store, 500 * time.Millisecond}, Kind: platform.KindGroup, Sink: n, Clock: clock.System{},
			Rand: rand.New(rand.NewPCG(1, 1)), Log: hclog.NewNullLogger(), Check: 2 * time.Second})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		// The check reads its list at two seconds and has it half a second later.
		advance(2100 * time.Millisecond)
		put(is, store, "a", "1")
		advance(100 * time.Millisecond)
		is.Equal(n.values["a"], "1")
		advance(time.Second)
		is.Equal(n.values["a"], "1")
		cancel()
		<-done
	})
}

// The platform is away for a minute. It is asked about once a second, not in a loop.
func TestCallsBackOffInAnOutage(t *testing.T) {
	runFollower(t, 0, func(is *is.I, s *standin.Store, _ *recordingSink) {
		s.SetFaults(standin.Faults{Outage: true})
		before := s.Calls()[standin.CallWatch]
		advance(time.Minute)
		calls := s.Calls()[standin.CallWatch] - before
		is.True(calls < 130)
		is.True(calls > 50)
	})
}

// pass lets virtual time pass and everything come to rest, so that what the sink was
// told may be read.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// knowing are peers that know of some changes up to a revision, or cannot tell.
type fakePeers struct {
	changes  []platform.Object
	revision int64
	err      error
}

// Since implements Peers.
func (p *fakePeers) ChangesSince(context.Context, int64) ([]platform.Object, int64, error) {
	return p.changes, p.revision, p.err
}

// silentWatchAPI is a platform whose watches hear nothing.
type silentWatchAPI struct{ platform.API }

// Watch implements platform.API.
func (silentWatchAPI) Watch(ctx context.Context, _ platform.Kind, after int64) ([]platform.Object, int64, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// Guards against a change that stays unknown to a watch that hears nothing, and against a list of
// all objects for each change that peers heard of first.
func TestPeersTellWhatTheWatchMissed(t *testing.T) {
	for name, c := range map[string]struct {
		peers fakePeers
		lists int
	}{
		"they know of a change": {fakePeers{changes: []platform.Object{{Name: "a", Value: []byte("2"), Revision: 50}}, revision: 50}, 1},
		"they know of none":     {fakePeers{revision: 1}, 1},
		"they go back less far": {fakePeers{err: platform.ErrCompacted}, 2},
		"they cannot tell":      {fakePeers{err: errFeedUnavailable}, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, n := standin.NewStore(), &recordingSink{values: make(map[string]string)}
			put(is, store, "a", "1")
			w := New(Config{API: silentWatchAPI{store}, Kind: platform.KindGroup, Sink: n, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 1)),
				Log: hclog.NewNullLogger(), Check: 2 * time.Second, Peers: &c.peers})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				w.Run(ctx)
			}()
			time.Sleep(3 * time.Second)
			cancel()
			<-done
			if n.lists != c.lists {
				t.Errorf("%s: listed %d times", name, n.lists)
			}
			if len(c.peers.changes) > 0 {
				is.Equal(n.values["a"], "2")
			}
		})
	}
}
