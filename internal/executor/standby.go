package executor

import (
	"context"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
)

// failoverWait is how long a write may wait for a primary, counted from the
// moment at which the group was first found without one. Most failovers are over
// by then. Later arrivals are refused at once: a group that is still without a
// primary may be so for long, and a caller that is told can do something else.
const failoverWait = time.Second

// standby holds writes that were not sent while a group changes its primary.
type standby struct {
	mu sync.Mutex
	// since is when the group was first found without a primary to write to;
	// zero while it has one.
	since time.Time
	// waiting counts the waiting units of each class.
	waiting map[string]int
}

func newStandby() *standby { return &standby{waiting: make(map[string]int)} }

// found notes whether the group has a primary to write to, and since when it
// has none.
func (s *standby) found(since time.Time, primary bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case primary:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = since
	}
}

// join counts one more waiting unit of a class and returns until when it may
// wait. It refuses when the class's queue is full or the time is over.
func (s *standby) join(now time.Time, class string, bound int) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := now.Add(failoverWait)
	if !s.since.IsZero() {
		until = s.since.Add(failoverWait)
	}
	if s.waiting[class] >= bound || !now.Before(until) {
		return time.Time{}, false
	}
	s.waiting[class]++
	return until, true
}

func (s *standby) leave(class string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[class]--
}

// awaitPrimary waits until there is a primary to write to.
func (g *Group) awaitPrimary(ctx context.Context, p plan) bool {
	until, ok := g.standby.join(g.Clock.Now(), p.class, p.maxQueue)
	if !ok {
		return false
	}
	defer g.standby.leave(p.class)
	for {
		if _, err := g.writablePrimary(); err == nil {
			return true
		}
		if !g.Clock.Now().Before(until) || g.servedElsewhere() || g.pause(ctx) != nil {
			return false
		}
	}
}

// servedElsewhere reports whether another home is known to have a primary to write to,
// so that there is nothing to wait for here. It has the others asked.
func (g *Group) servedElsewhere() bool {
	if g.homeFinder == nil {
		return false
	}
	g.homeFinder.want()
	_, ok := g.homeFinder.pick(&execution.Unit{})
	return ok
}
