package executor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// homeFinderInterval is the time between two rounds of questions: three rounds, which
	// ask seven homes, end within half of what an answer counts. homeFinderTimeout bounds the
	// answers, many times a slow one.
	homeFinderInterval = 150 * time.Millisecond
	homeFinderTimeout  = 100 * time.Millisecond
	// homeFinderLinger is how long homes are asked on behind the last unit that could not
	// be served here.
	homeFinderLinger = 500 * time.Millisecond
	// homeFinderWait is how long a unit waits for the first answers.
	homeFinderWait = 120 * time.Millisecond
)

// homeFinder finds out which other homes of a group can serve what this instance cannot.
//
// The load pattern is a cut that leaves an instance without the group's primary, or
// without a majority, while it still reaches instances that have both. Every instance
// decides by its own view; without it each caller of the cut ones is refused until
// the cut heals, and comes back to one of them with every second try. Nobody is asked
// while the group is served here.
type homeFinder struct {
	clock clock.Clock
	// homes returns the group's other homes, and ask asks one of them.
	homes func() []platform.Instance
	ask   func(ctx context.Context, home platform.Instance) (standing, error)
	// wake takes a token when somebody wants to know.
	wake chan struct{}

	mu    sync.Mutex
	known *knownHomes
	// wantedAt is when a unit last could not be served here, and round is closed at the
	// end of the present round of questions.
	wantedAt time.Time
	round    chan struct{}
}

func newHomeFinder(k clock.Clock, r *rand.Rand, homes func() []platform.Instance, ask func(context.Context, platform.Instance) (standing, error)) *homeFinder {
	return &homeFinder{clock: k, homes: homes, ask: ask, wake: make(chan struct{}, 1), round: make(chan struct{}), known: newKnownHomes(r)}
}

// find returns a home that can serve the unit, and false when none is known to. It waits
// for answers for a short time, unless enough homes were asked just now: whoever cannot
// be served is told so at once.
func (s *homeFinder) find(ctx context.Context, u *execution.Unit) (platform.Instance, bool) {
	began := s.clock.Now()
	for {
		round := s.want()
		// Whether enough were asked is looked at before what they told: an answer that
		// comes in between would else count as asked and not be seen.
		told := s.told()
		if home, ok := s.pick(u); ok {
			return home, true
		}
		left := homeFinderWait - s.clock.Now().Sub(began)
		if left <= 0 || told || !s.await(ctx, round, left) {
			return platform.Instance{}, false
		}
	}
}

// await waits for the end of a round.
func (s *homeFinder) await(ctx context.Context, round <-chan struct{}, d time.Duration) bool {
	timer := s.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-round:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// want has the homes asked from now on, and returns what is closed when the present
// round ends.
func (s *homeFinder) want() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wantedAt = s.clock.Now()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return s.round
}

// pick returns a home that is known to serve the unit.
func (s *homeFinder) pick(u *execution.Unit) (platform.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.pick(u, s.clock.Now())
}

// told reports whether enough homes were asked of late.
func (s *homeFinder) told() bool {
	homes := s.homes()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.enoughAsked(homes, s.clock.Now())
}

// failed says that a home did not serve what it said it could.
func (s *homeFinder) failed(home platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.failed(home)
}

// run asks homes round by round as long as somebody wants to know, until ctx ends.
func (s *homeFinder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for s.askRound(ctx) {
			if clock.Sleep(ctx, s.clock, homeFinderInterval) != nil {
				return
			}
		}
	}
}

// askRound asks some homes at once. It returns false when nobody wants to know any more.
func (s *homeFinder) askRound(ctx context.Context) bool {
	var calls sync.WaitGroup
	for _, home := range s.nextHomes() {
		calls.Go(func() { s.askOne(ctx, home) })
	}
	calls.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.round)
	s.round = make(chan struct{})
	return s.clock.Now().Sub(s.wantedAt) < homeFinderLinger
}

// nextHomes returns the homes that the next round asks.
func (s *homeFinder) nextHomes() []platform.Instance {
	homes := s.homes()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.choose(homes)
}

// askOne asks one home.
func (s *homeFinder) askOne(ctx context.Context, home platform.Instance) {
	ctx, cancel := context.WithTimeout(ctx, homeFinderTimeout)
	defer cancel()
	at := s.clock.Now()
	told, err := s.ask(ctx, home)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.known.silent(home, at)
		return
	}
	s.known.answered(home, told, at)
}
