package executor

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/platform"
)

// askedHomes are the other homes of a group, and what they tell.
type askedHomes struct {
	mu       sync.Mutex
	standing map[string]standing
	silent   map[string]bool
	asked    int
}

func (s *askedHomes) ask(ctx context.Context, home platform.Instance) (standing, error) {
	s.mu.Lock()
	s.asked++
	silent, told := s.silent[home.ID], s.standing[home.ID]
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return standing{}, errors.New("no answer")
	}
	_ = clock.Sleep(ctx, clock.System{}, 3*time.Millisecond)
	return told, nil
}

// inHomes runs f with the home finder of a group that has n other homes.
func inHomes(t *testing.T, n int, f func(is *is.I, homes *askedHomes, s *homeFinder)) {
	synctest.Test(t, func(t *testing.T) {
		homes := &askedHomes{standing: make(map[string]standing), silent: make(map[string]bool)}
		var list []platform.Instance
		for k := range n {
			list = append(list, platform.Instance{ID: fmt.Sprint("h", k)})
		}
		s := newHomeFinder(clock.System{}, rand.New(rand.NewPCG(1, 2)), func() []platform.Instance { return list }, homes.ask)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.run(ctx)
		}()
		f(is.New(t), homes, s)
		cancel()
		<-ended
	})
}

var (
	writing = &execution.Unit{}
	reading = &execution.Unit{ReadOnly: true}
)

// One of six other homes reaches the primary, one more a majority, and one does not
// answer. A write goes to the first, a read to either, and the caller waits for the
// answers no longer than they take.
func TestHomeFinderFindsWhoCanServe(t *testing.T) {
	inHomes(t, 6, func(is *is.I, homes *askedHomes, s *homeFinder) {
		homes.standing["h1"] = standing{Writes: true, Reads: true}
		homes.standing["h2"] = standing{Reads: true}
		began := time.Now()
		home, ok := s.find(context.Background(), writing)
		is.True(ok)
		is.Equal(home.ID, "h1")
		is.True(time.Since(began) < 10*time.Millisecond)
		homes.silent["h0"] = true
		seen := make(map[string]bool)
		for range 20 {
			home, ok := s.find(context.Background(), reading)
			is.True(ok)
			seen[home.ID] = true
		}
		is.Equal(len(seen), 2)
	})
}

// No home can serve the group. The first caller waits for the answers; those who come
// after it are refused at once, and homes are not asked any more when nobody comes.
func TestHomeFinderTellsAtOnceThatNobodyServes(t *testing.T) {
	inHomes(t, 6, func(is *is.I, homes *askedHomes, s *homeFinder) {
		began := time.Now()
		_, ok := s.find(context.Background(), writing)
		is.True(!ok)
		is.True(time.Since(began) <= homeFinderWait)
		time.Sleep(2 * homeFinderInterval)
		for range 10 {
			began = time.Now()
			_, ok = s.find(context.Background(), writing)
			is.True(!ok)
			is.Equal(time.Since(began), time.Duration(0))
		}
		time.Sleep(2 * homeFinderLinger)
		homes.mu.Lock()
		asked := homes.asked
		homes.mu.Unlock()
		time.Sleep(time.Minute)
		is.Equal(homes.asked, asked)
	})
}

// A home loses reach after it told that it can serve. The unit that it refused is not
// offered to it again, nor are others, until it tells so again; what it told is forgotten
// in any case when it is old.
func TestHomeFinderForgets(t *testing.T) {
	inHomes(t, 2, func(is *is.I, homes *askedHomes, s *homeFinder) {
		homes.standing["h1"] = standing{Writes: true}
		home, ok := s.find(context.Background(), writing)
		is.True(ok)
		homes.mu.Lock()
		homes.standing["h1"] = standing{}
		homes.mu.Unlock()
		s.failed(home)
		_, ok = s.pick(writing)
		is.True(!ok)
		homes.mu.Lock()
		homes.standing["h1"] = standing{Writes: true}
		homes.mu.Unlock()
		time.Sleep(2 * homeFinderInterval)
		_, ok = s.find(context.Background(), writing)
		is.True(ok)
		time.Sleep(2*homeFinderLinger + 2*scoutMemory)
		_, ok = s.pick(writing)
		is.True(!ok)
	})
}

// The last answer of a round comes just while a caller looks what is known: it has seen
// that nobody serves, and sees then that everybody was asked. It must see the answer
// too; refused at that moment, it would come back for nothing.
func TestAnswerThatComesWhileLookingIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		homes := &askedHomes{standing: map[string]standing{"h0": {Writes: true}}}
		list := []platform.Instance{{ID: "h0"}}
		var s *homeFinder
		arrived := false
		s = newHomeFinder(clock.System{}, rand.New(rand.NewPCG(1, 2)), func() []platform.Instance {
			if !arrived {
				arrived = true
				s.askOne(context.Background(), list[0])
			}
			return list
		}, homes.ask)
		home, ok := s.find(context.Background(), writing)
		is.True(ok)
		is.Equal(home.ID, "h0")
	})
}
