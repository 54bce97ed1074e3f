package homechoice

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
	// homeFinderInterval is the pause between two rounds of queries: three rounds, which query
	// seven homes, end within half of homeAnswerTTL. homeQueryTimeout bounds each query; it
	// is many times a slow answer.
	homeFinderInterval = 150 * time.Millisecond
	homeQueryTimeout   = 100 * time.Millisecond
	// homeFinderIdleAfter is how long homes are still queried after the last unit that could
	// not be served here.
	homeFinderIdleAfter = 500 * time.Millisecond
	// homeFinderWait is how long a unit waits for the first answers.
	homeFinderWait = 120 * time.Millisecond
)

// Finder finds out which other homes of a group can serve units that this instance cannot.
//
// It handles a network partition that cuts an instance off from the group's primary, or from a
// majority, while the instance still reaches others that have both. Every instance decides by its
// own view; without the finder, each caller of the isolated instances would be refused until the
// partition heals, and would return to one of them on every second attempt. No home is queried
// while the group is served here.
type Finder struct {
	clock clock.Clock
	// homes returns the group's other homes; query sends a query to one of them.
	homes func() []platform.Instance
	query func(ctx context.Context, home platform.Instance) (Capability, error)
	// wake receives a signal when a unit needs another home.
	wake chan struct{}

	mu    sync.Mutex
	known *knownHomes
	// lastRequested is when a unit last could not be served here. roundDone is closed at the end
	// of the current round of queries.
	lastRequested time.Time
	roundDone     chan struct{}
}

func NewFinder(k clock.Clock, r *rand.Rand, homes func() []platform.Instance, query func(context.Context, platform.Instance) (Capability, error)) *Finder {
	return &Finder{clock: k, homes: homes, query: query, wake: make(chan struct{}, 1), roundDone: make(chan struct{}), known: newKnownHomes(r)}
}

// FindHome returns a home that can serve the unit, or false if none is known. It waits a short
// time for answers unless enough homes were queried recently, so that units that cannot be served
// are refused immediately.
func (f *Finder) FindHome(ctx context.Context, u *execution.Unit) (platform.Instance, bool) {
	start := f.clock.Now()
	for {
		roundDone := f.RequestRound()
		// enoughQueried must be read before the answers: otherwise, if an answer arrived in
		// between, its home would count as queried but the answer would be missed.
		enoughQueried := f.enoughQueried()
		if home, ok := f.PickHome(u); ok {
			return home, true
		}
		remaining := homeFinderWait - f.clock.Now().Sub(start)
		if remaining <= 0 || enoughQueried || !f.awaitRound(ctx, roundDone, remaining) {
			return platform.Instance{}, false
		}
	}
}

// awaitRound waits for the end of a round.
func (f *Finder) awaitRound(ctx context.Context, roundDone <-chan struct{}, d time.Duration) bool {
	timer := f.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-roundDone:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// RequestRound starts or continues the querying of homes. It returns a channel that is closed at
// the end of the current round.
func (f *Finder) RequestRound() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRequested = f.clock.Now()
	select {
	case f.wake <- struct{}{}:
	default:
	}
	return f.roundDone
}

// PickHome returns a home that is known to be able to serve the unit.
func (f *Finder) PickHome(u *execution.Unit) (platform.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known.pickHome(u, f.clock.Now())
}

// enoughQueried reports whether enough homes were queried recently.
func (f *Finder) enoughQueried() bool {
	homes := f.homes()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known.enoughQueried(homes, f.clock.Now())
}

// ForgetHome drops the answer of a home that did not serve a unit although it reported that it
// could.
func (f *Finder) ForgetHome(home platform.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known.forgetAnswer(home)
}

// Run queries homes in rounds while units need another home, until ctx ends.
func (f *Finder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		for f.queryRound(ctx) {
			if clock.Sleep(ctx, f.clock, homeFinderInterval) != nil {
				return
			}
		}
	}
}

// queryRound queries some homes concurrently. It returns false if no unit needs another home
// any more.
func (f *Finder) queryRound(ctx context.Context) bool {
	var calls sync.WaitGroup
	for _, home := range f.nextHomes() {
		calls.Go(func() { f.queryHome(ctx, home) })
	}
	calls.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.roundDone)
	f.roundDone = make(chan struct{})
	return f.clock.Now().Sub(f.lastRequested) < homeFinderIdleAfter
}

// nextHomes returns the homes to query in the next round.
func (f *Finder) nextHomes() []platform.Instance {
	homes := f.homes()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known.chooseNext(homes)
}

// queryHome queries one home and records its answer.
func (f *Finder) queryHome(ctx context.Context, home platform.Instance) {
	ctx, cancel := context.WithTimeout(ctx, homeQueryTimeout)
	defer cancel()
	queriedAt := f.clock.Now()
	reported, err := f.query(ctx, home)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.known.recordNoAnswer(home, queriedAt)
		return
	}
	f.known.recordAnswer(home, reported, queriedAt)
}
