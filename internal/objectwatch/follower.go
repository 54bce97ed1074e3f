// Package objectwatch follows the objects of one kind on the platform: it lists
// them, watches from there, and lists again whenever the watch's history is gone.
//
// The platform may be down, slow or silent for any time. What was learned stays
// valid for whoever holds it; a Follower only says when it is out of touch.
package objectwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// minBackoff and maxBackoff bound the pause after a call that failed. Every
	// call is paid for, and the platform needs some of its rate for its return.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Sink takes what a Follower learns, one call at a time.
type Sink interface {
	// Listed takes all objects of the kind.
	Listed(objects []platform.Object)
	// Changed takes objects that changed or were removed.
	Changed(objects []platform.Object)
	// Touch says whether the platform answers.
	Touch(inTouch bool)
}

// Peers are other instances that follow the kind.
type Peers interface {
	// Since returns what changed after a revision until now, and the revision up to which that
	// goes. An error says that no peer could prove lately that it knows all.
	Since(ctx context.Context, after int64) ([]platform.Object, int64, error)
}

// Config is what a Follower is made of.
type Config struct {
	API   platform.API
	Kind  platform.Kind
	Sink  Sink
	Clock clock.Clock
	// Rand spreads the pauses; nothing else may use it.
	Rand *rand.Rand
	Log  hclog.Logger
	// Settle is the pause before watching on after a change. Changes that come
	// in bursts and are in no hurry are then told in one call.
	Settle time.Duration
	// Check is how often the objects are listed besides the watch; zero is never. A
	// watch may hear nothing for seconds while objects change, and nothing in its
	// answers shows it; only a list bounds how late a change is learned.
	Check time.Duration
	// Stale says that such a list may be some seconds old, which the platform charges
	// less for.
	Stale bool
	// Peers, if set, are asked before each such list and may spare it.
	Peers Peers
}

// Follower follows one kind.
type Follower struct {
	Config
	// backoff is the last pause of the watch's loop.
	backoff time.Duration

	// mu serialises the calls of Sink and guards the fields below.
	mu      sync.Mutex
	inTouch bool
	// revision is the last one up to which the sink was told.
	revision int64
	// failingSince is when the first of the present failures was met, and answeredAt when the
	// platform or a peer answered last.
	failingSince, answeredAt time.Time
}

// New returns a Follower; Run makes it work.
func New(c Config) *Follower {
	c.Log = c.Log.Named("objectwatch").With("kind", c.Kind)
	return &Follower{Config: c}
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var parts sync.WaitGroup
	if f.Check > 0 {
		parts.Go(func() { f.check(ctx) })
	}
	f.follow(ctx)
	parts.Wait()
}

// check lists the objects at an interval. A list that fails is left to the watch,
// which finds out as well.
func (f *Follower) check(ctx context.Context) {
	for clock.Sleep(ctx, f.Clock, f.Check) == nil {
		if f.caughtUp(ctx) {
			continue
		}
		objects, revision, err := f.list(ctx)
		if err != nil {
			f.Log.Debug("The objects were not listed.", "error", err)
			continue
		}
		f.answered()
		f.tellList(objects, revision)
	}
}

// caughtUp has peers tell what the watch may have missed, and reports whether they could. A list
// of all objects in its place, from each of a hundred followers, takes the links of those who
// read for them, and then their answers come too late for all.
func (f *Follower) caughtUp(ctx context.Context) bool {
	if f.Peers == nil {
		return false
	}
	objects, revision, err := f.Peers.Since(ctx, f.toldUpTo())
	if err != nil {
		f.Log.Debug("Peers did not tell what changed.", "error", err)
		return false
	}
	f.tellChanges(objects, revision)
	return true
}

// list lists the objects for a check.
func (f *Follower) list(ctx context.Context) ([]platform.Object, int64, error) {
	if f.Stale {
		return f.API.ListStale(ctx, f.Kind)
	}
	return f.API.List(ctx, f.Kind)
}

// tellList passes on a list, unless the sink knows of later changes. A list that was
// answered slowly, or that may be old, shows the objects as they were before a change that
// the watch has told meanwhile: passed on, it would take that change back until the next
// list. What is in it has been told.
func (f *Follower) tellList(objects []platform.Object, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.revision {
		f.Log.Debug("A list is older than what is known.", "revision", revision, "known", f.revision)
		return
	}
	f.revision = revision
	f.Sink.Listed(objects)
}

// tellChanges passes on changes up to a revision, unless the sink knows of later ones. What
// came late has been told with those, and would take them back.
func (f *Follower) tellChanges(objects []platform.Object, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(objects) == 0 || revision <= f.revision {
		return
	}
	f.revision = revision
	f.Sink.Changed(objects)
}

// toldUpTo returns the revision up to which the sink was told.
func (f *Follower) toldUpTo() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

func (f *Follower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		objects, revision, err := f.API.List(ctx, f.Kind)
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.backoff = 0
		f.answered()
		f.tellList(objects, revision)
		// A list that was not passed on lacks changes that the sink knows.
		f.watch(ctx, f.toldUpTo())
	}
}

// watch passes on changes until the history is gone or ctx ends.
func (f *Follower) watch(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		objects, next, err := f.API.Watch(ctx, f.Kind, revision)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			f.Log.Info("History is gone; the objects are listed again.", "revision", revision)
			return
		case errors.Is(err, errQuiet):
			f.quiet()
			continue
		case err != nil:
			f.failed(ctx, err)
			continue
		}
		f.backoff = 0
		f.answered()
		revision = next
		if len(objects) > 0 {
			f.tellChanges(objects, revision)
			_ = clock.Sleep(ctx, f.Clock, f.Settle)
		}
	}
}

// answered notes that the platform answered. A list says so at once; a watch only when
// something changes or it ends, which may be half a minute after an outage.
func (f *Follower) answered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	failing := f.failingSince
	f.failingSince, f.answeredAt = time.Time{}, f.Clock.Now()
	if f.inTouch {
		return
	}
	f.inTouch = true
	f.Log.Info("The platform answers.", "failing_for", f.since(failing).String())
	f.Sink.Touch(true)
}

// since is the time from a moment until now; zero for none.
func (f *Follower) since(moment time.Time) time.Duration {
	if moment.IsZero() {
		return 0
	}
	return f.Clock.Now().Sub(moment)
}

// mostQuiet is how long nothing may answer before the platform is taken for silent: a little longer
// than it holds a watch that has nothing to tell.
const mostQuiet = 30 * time.Second

// quiet notes a watch that was given up with nothing heard.
func (f *Follower) quiet() {
	f.mu.Lock()
	silent := f.Clock.Now().Sub(f.answeredAt) > mostQuiet
	f.mu.Unlock()
	if silent {
		f.lost(errQuiet)
	}
}

// failed notes a call of the watch's loop that failed and pauses before the next.
func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.lost(err)
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	half := f.backoff / 2
	_ = clock.Sleep(ctx, f.Clock, half+time.Duration(f.Rand.Int64N(int64(half)+1)))
}

// lost notes that the platform did not answer.
func (f *Follower) lost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		f.failingSince = f.Clock.Now()
	}
	if !f.inTouch {
		return
	}
	f.inTouch = false
	f.Log.Warn("The platform does not answer.", "error", err)
	f.Sink.Touch(false)
}
