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
type noted struct {
	values  map[string]string
	lists   int
	touches []bool
}

// Listed implements Sink.
func (n *noted) Listed(objects []platform.Object) {
	n.lists++
	clear(n.values)
	n.Changed(objects)
}

// Changed implements Sink.
func (n *noted) Changed(objects []platform.Object) {
	for _, o := range objects {
		n.values[o.Name] = string(o.Value)
		if o.Removed {
			delete(n.values, o.Name)
		}
	}
}

// Touch implements Sink.
func (n *noted) Touch(inTouch bool) { n.touches = append(n.touches, inTouch) }

func follow(t *testing.T, check time.Duration, f func(is *is.I, s *standin.Store, n *noted)) {
	synctest.Test(t, func(t *testing.T) {
		store, n := standin.NewStore(), &noted{values: make(map[string]string)}
		w := New(Config{API: store, Kind: platform.KindGroup, Sink: n, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 1)),
			Log: hclog.NewNullLogger(), Check: check})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		pass(time.Second)
		f(is.New(t), store, n)
		cancel()
		<-done
	})
}

func put(is *is.I, s *standin.Store, name, value string) {
	held, _ := s.Get(context.Background(), platform.KindGroup, name)
	_, err := s.Put(context.Background(), platform.KindGroup, name, []byte(value), held.Version)
	is.NoErr(err)
}

// Objects change, one is removed, and the history is dropped behind a change that was
// not heard. All is told, by the watch or by a new list.
func TestChangesAreToldPastALostHistory(t *testing.T) {
	follow(t, 0, func(is *is.I, s *standin.Store, n *noted) {
		put(is, s, "a", "1")
		put(is, s, "b", "1")
		pass(time.Second)
		is.Equal(fmt.Sprint(n.values), "map[a:1 b:1]")
		is.NoErr(s.Delete(context.Background(), platform.KindGroup, "b", 1))
		pass(time.Second)
		is.Equal(fmt.Sprint(n.values), "map[a:1]")
		s.SetFaults(standin.Faults{Outage: true})
		pass(time.Second)
		s.SetFaults(standin.Faults{})
		put(is, s, "a", "2")
		s.Compact(platform.KindGroup)
		pass(2 * time.Second)
		is.Equal(fmt.Sprint(n.values), "map[a:2]")
		is.Equal(n.lists, 2)
		is.Equal(n.touches, []bool{true, false, true})
	})
}

// The watch is deaf. Without a check nothing is told; with one, a change is told within
// its interval.
func TestChecksBoundADeafWatch(t *testing.T) {
	for _, check := range []time.Duration{0, 2 * time.Second} {
		follow(t, check, func(is *is.I, s *standin.Store, n *noted) {
			s.SetFaults(standin.Faults{DeafWatches: true})
			put(is, s, "a", "1")
			pass(check + 100*time.Millisecond)
			is.Equal(n.values["a"] == "1", check > 0)
		})
	}
}

// slowLists answers lists some time after they were read.
type slowLists struct {
	platform.API
	delay time.Duration
}

// List implements platform.API.
func (s slowLists) List(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error) {
	objects, revision, err := s.API.List(ctx, kind)
	time.Sleep(s.delay)
	return objects, revision, err
}

// An object is written while a list that was read before it is still on its way. The watch
// tells of the object first, and then the list comes, which lacks it. The object stays known.
func TestListThatIsOlderTakesNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, n := standin.NewStore(), &noted{values: make(map[string]string)}
		w := New(Config{API: slowLists{store, 500 * time.Millisecond}, Kind: platform.KindGroup, Sink: n, Clock: clock.System{},
			Rand: rand.New(rand.NewPCG(1, 1)), Log: hclog.NewNullLogger(), Check: 2 * time.Second})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		// The check reads its list at two seconds and has it half a second later.
		pass(2100 * time.Millisecond)
		put(is, store, "a", "1")
		pass(100 * time.Millisecond)
		is.Equal(n.values["a"], "1")
		pass(time.Second)
		is.Equal(n.values["a"], "1")
		cancel()
		<-done
	})
}

// The platform is away for a minute. It is asked about once a second, not in a loop.
func TestCallsArePacedInAnOutage(t *testing.T) {
	follow(t, 0, func(is *is.I, s *standin.Store, _ *noted) {
		s.SetFaults(standin.Faults{Outage: true})
		before := s.Calls()[standin.CallWatch]
		pass(time.Minute)
		calls := s.Calls()[standin.CallWatch] - before
		is.True(calls < 130)
		is.True(calls > 50)
	})
}

// pass lets virtual time pass and everything come to rest, so that what the sink was
// told may be read.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// knowing are peers that know of some changes up to a revision, or cannot tell.
type knowing struct {
	changes []platform.Object
	upTo    int64
	err     error
}

// Since implements Peers.
func (k *knowing) Since(context.Context, int64) ([]platform.Object, int64, error) {
	return k.changes, k.upTo, k.err
}

// deafAPI is a platform whose watches hear nothing.
type deafAPI struct{ platform.API }

// Watch implements platform.API.
func (deafAPI) Watch(ctx context.Context, _ platform.Kind, after int64) ([]platform.Object, int64, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// Guards against a change that stays unknown to a watch that hears nothing, and against a list of
// all objects for each change that peers heard of first.
func TestPeersTellWhatTheWatchMissed(t *testing.T) {
	for name, c := range map[string]struct {
		peers knowing
		lists int
	}{
		"they know of a change": {knowing{changes: []platform.Object{{Name: "a", Value: []byte("2"), Revision: 50}}, upTo: 50}, 1},
		"they know of none":     {knowing{upTo: 1}, 1},
		"they go back less far": {knowing{err: platform.ErrCompacted}, 2},
		"they cannot tell":      {knowing{err: errNoFeed}, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, n := standin.NewStore(), &noted{values: make(map[string]string)}
			put(is, store, "a", "1")
			w := New(Config{API: deafAPI{store}, Kind: platform.KindGroup, Sink: n, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 1)),
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
