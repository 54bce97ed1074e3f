package executor

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// scoutInterval is the time between two rounds of questions, scoutWidth how many
	// homes are asked in each, and scoutTimeout bounds their answers: many times a
	// slow one. Seven homes so are all asked in 300 ms.
	scoutInterval = 150 * time.Millisecond
	scoutWidth    = 3
	scoutTimeout  = 100 * time.Millisecond
	// scoutMemory is how long an answer counts: a home whose own view of the group
	// changed since is asked again within it.
	scoutMemory = 600 * time.Millisecond
	// scoutLinger is how long homes are asked on behind the last unit that could not
	// be served here.
	scoutLinger = 500 * time.Millisecond
	// scoutPatience is how long a unit waits for the first answers.
	scoutPatience = 120 * time.Millisecond
)

// scout finds out which other homes of a group can serve what this instance cannot.
//
// The load pattern is a cut that leaves an instance without the group's primary, or
// without a majority, while it still reaches instances that have both. Every instance
// decides by its own view; without the scout each caller of the cut ones is refused until
// the cut heals, and comes back to one of them with every second try. Nobody is asked
// while the group is served here.
type scout struct {
	clock clock.Clock
	// homes returns the group's other homes, and ask asks one of them.
	homes func() []platform.Instance
	ask   func(ctx context.Context, home platform.Instance) (standing, error)

	mu     sync.Mutex
	random *rand.Rand
	// wantedAt is when a unit last could not be served here; asking says that rounds
	// go on, and round is closed at the end of the present one.
	wantedAt time.Time
	asking   bool
	round    chan struct{}
	// next is where the next round goes on in the list of homes.
	next  int
	known map[string]answer
}

// answer is what a home told, and when it was asked.
type answer struct {
	home     platform.Instance
	standing standing
	at       time.Time
}

func newScout(k clock.Clock, r *rand.Rand, homes func() []platform.Instance, ask func(context.Context, platform.Instance) (standing, error)) *scout {
	return &scout{clock: k, random: r, homes: homes, ask: ask, round: make(chan struct{}), known: make(map[string]answer)}
}

// find returns a home that can serve the unit. It waits for a short time for the first
// answers, and returns false when no home is known to.
func (s *scout) find(ctx context.Context, u *execution.Unit) (platform.Instance, bool) {
	began := s.clock.Now()
	for {
		round := s.want()
		if home, ok := s.pick(u); ok {
			return home, true
		}
		left := scoutPatience - s.clock.Now().Sub(began)
		if left <= 0 || !s.await(ctx, round, left) {
			return platform.Instance{}, false
		}
	}
}

// await waits for the end of a round.
func (s *scout) await(ctx context.Context, round <-chan struct{}, d time.Duration) bool {
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
func (s *scout) want() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wantedAt = s.clock.Now()
	if !s.asking {
		s.asking = true
		go s.run()
	}
	return s.round
}

// pick returns one of the homes that are known to serve the unit. Chance decides
// between them, so that their callers share the load.
func (s *scout) pick(u *execution.Unit) (platform.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.clock.Now().Add(-scoutMemory)
	var able []answer
	for _, a := range s.known {
		if !a.at.Before(oldest) && a.standing.serves(u) {
			able = append(able, a)
		}
	}
	if len(able) == 0 {
		return platform.Instance{}, false
	}
	slices.SortFunc(able, func(a, b answer) int { return a.at.Compare(b.at) })
	return able[s.random.IntN(len(able))].home, true
}

// failed forgets what a home told: it did not serve what it said it could.
func (s *scout) failed(home platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.known, home.ID)
}

// run asks homes round by round as long as somebody wants to know.
func (s *scout) run() {
	for s.askRound() {
		_ = clock.Sleep(context.Background(), s.clock, scoutInterval)
	}
}

// askRound asks some homes at once. It returns false when nobody wants to know any more.
func (s *scout) askRound() bool {
	var calls sync.WaitGroup
	for _, home := range s.nextHomes() {
		calls.Go(func() { s.askOne(home) })
	}
	calls.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.round)
	s.round = make(chan struct{})
	s.asking = s.clock.Now().Sub(s.wantedAt) < scoutLinger
	return s.asking
}

// nextHomes returns the homes that the next round asks, in turn.
func (s *scout) nextHomes() []platform.Instance {
	homes := s.homes()
	s.mu.Lock()
	defer s.mu.Unlock()
	var chosen []platform.Instance
	for range min(scoutWidth, len(homes)) {
		chosen = append(chosen, homes[s.next%len(homes)])
		s.next++
	}
	return chosen
}

// askOne keeps what a home tells. One that does not answer is not known to serve.
func (s *scout) askOne(home platform.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), scoutTimeout)
	defer cancel()
	at := s.clock.Now()
	told, err := s.ask(ctx, home)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		delete(s.known, home.ID)
		return
	}
	s.known[home.ID] = answer{home: home, standing: told, at: at}
}
