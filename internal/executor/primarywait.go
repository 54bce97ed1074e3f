package executor

import (
	"context"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
)

// failoverWait is how long a write may wait for a primary, counted from when the group was first
// found to have none. Most failovers finish within this time. Later writes are refused
// immediately: the group may remain without a primary for long, and a caller that gets an error
// can take other action.
const failoverWait = time.Second

// primaryWait tracks writes that wait to be sent while a group changes its primary.
type primaryWait struct {
	mu sync.Mutex
	// missingSince is when the group was first found to have no writable primary; zero while it
	// has one.
	missingSince time.Time
	// waiting counts the waiting units of each class.
	waiting map[string]int
}

func newPrimaryWait() *primaryWait { return &primaryWait{waiting: make(map[string]int)} }

// recordPrimary records whether the group has a writable primary and, if not, since when.
func (w *primaryWait) recordPrimary(since time.Time, available bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case available:
		w.missingSince = time.Time{}
	case w.missingSince.IsZero():
		w.missingSince = since
	}
}

// addWaiting adds a waiting unit of a class and returns the time until which it may wait. It
// returns false if the class already has maxWaiting units or that time has passed.
func (w *primaryWait) addWaiting(now time.Time, class string, maxWaiting int) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	until := now.Add(failoverWait)
	if !w.missingSince.IsZero() {
		until = w.missingSince.Add(failoverWait)
	}
	if w.waiting[class] >= maxWaiting || !now.Before(until) {
		return time.Time{}, false
	}
	w.waiting[class]++
	return until, true
}

func (w *primaryWait) removeWaiting(class string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting[class]--
}

// awaitPrimary waits until there is a writable primary and reports whether there is one.
func (g *Group) awaitPrimary(ctx context.Context, p plan) bool {
	until, ok := g.primaryWait.addWaiting(g.Clock.Now(), p.class, p.maxQueue)
	if !ok {
		return false
	}
	defer g.primaryWait.removeWaiting(p.class)
	for {
		if _, err := g.writablePrimary(); err == nil {
			return true
		}
		if !g.Clock.Now().Before(until) || g.writableElsewhere() || g.sleepPollInterval(ctx) != nil {
			return false
		}
	}
}

// writableElsewhere reports whether another home is known to have a writable primary, so that
// there is nothing to wait for here. It also requests another round of home queries.
func (g *Group) writableElsewhere() bool {
	if g.homeFinder == nil {
		return false
	}
	g.homeFinder.RequestRound()
	_, ok := g.homeFinder.PickHome(&execution.Unit{})
	return ok
}
