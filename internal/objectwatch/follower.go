// Package objectwatch follows the objects of one kind on the platform: it lists them, watches
// for changes from the list's revision on, and lists them again when the platform has compacted
// the revision to resume from.
//
// The platform may be down, slow or unresponsive for any length of time. Objects that were
// received stay valid for their users; a Follower only reports that the platform is unreachable.
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
	// minBackoff and maxBackoff bound the pause after a failed call. Every call is billed, and a
	// platform that recovers needs part of its capacity for the recovery.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Sink receives what a Follower learns. Its methods are never called concurrently.
type Sink interface {
	// ApplyList receives all objects of the kind.
	ApplyList(objects []platform.Object)
	// ApplyChanges receives objects that were changed or removed.
	ApplyChanges(objects []platform.Object)
	// SetReachable is called when the platform becomes reachable or unreachable. It counts as
	// unreachable until its first response.
	SetReachable(reachable bool)
}

// ReturnSink is a Sink that is told when the platform's store has returned from an older copy.
type ReturnSink interface {
	// PlatformReturned is called before the first list of the store's next era is applied.
	PlatformReturned()
}

// Origin says how objects reached a Follower. Its value is the label of metrics.
type Origin string

// Origins.
const (
	OriginList  Origin = "list"
	OriginWatch Origin = "watch"
	OriginCheck Origin = "check"
	OriginPeer  Origin = "peer"
)

// OriginSink is a Sink that is told where objects come from.
type OriginSink interface {
	// SetOrigin is called before each call of ApplyList and ApplyChanges.
	SetOrigin(o Origin)
}

// Peers are other instances that follow the same kind.
type Peers interface {
	// ChangesSince returns the changes after a revision and the revision that they lead to. It
	// returns an error if no peer can prove that its state is recent enough.
	ChangesSince(ctx context.Context, after platform.Revision) ([]platform.Object, platform.Revision, error)
}

// Config configures a Follower.
type Config struct {
	API   platform.API
	Kind  platform.Kind
	Sink  Sink
	Clock clock.Clock
	// Rand adds jitter to the backoff. It must not be shared.
	Rand *rand.Rand
	Log  hclog.Logger
	// WatchPause is the pause after a change before the next watch. Bursts of changes that are not
	// urgent then arrive in a single call.
	WatchPause time.Duration
	// MaxWatchPause, if it is longer, is the pause after many changes at once: where thousands of
	// objects change one after the other, each response costs all followers more than the changes in
	// it.
	MaxWatchPause time.Duration
	// CheckInterval is the interval at which the objects are listed in addition to the watch;
	// zero disables it. A watch can miss changes for seconds without any sign of it in its responses,
	// so only a list bounds the delay of a change.
	CheckInterval time.Duration
	// AllowStaleLists allows these lists to be some seconds old. The platform charges less for
	// such a list.
	AllowStaleLists bool
	// Peers, if set, is asked before each of these lists. If it responds, the list is skipped.
	Peers Peers
	// Metrics may be nil. All followers of an instance share one value.
	Metrics *Metrics
}

// Follower follows the objects of one kind.
type Follower struct {
	Config
	// backoff is the previous pause after a failed list or watch.
	backoff time.Duration
	// compacted is the revision of the last watch that could not be resumed.
	compacted platform.Revision

	// mu serializes the calls to Sink and guards the fields below.
	mu        sync.Mutex
	reachable bool
	// delivered is the latest revision that was delivered to the sink.
	delivered platform.Revision
	// ignoredLists is how many lists in a row were older than delivered.
	ignoredLists int
	// failingSince is the time of the first failure since the last response; zero if there was
	// none. lastAnswer is the time of the last response from the platform or a peer.
	failingSince, lastAnswer time.Time
	// failedChecks is how many checks in a row have failed. checkedAt is when the latest one that did
	// not fail was requested, or when Run began.
	failedChecks int
	checkedAt    time.Time
}

// New returns a Follower. Call Run to start it.
func New(c Config) *Follower {
	c.Log = c.Log.Named("objectwatch").With("kind", c.Kind)
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	return &Follower{Config: c}
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var loops sync.WaitGroup
	if f.CheckInterval > 0 {
		f.checkedAt = f.Clock.Now()
		loops.Go(func() { f.runChecks(ctx) })
	}
	f.listAndWatch(ctx)
	loops.Wait()
}

// announceOrigin tells the sink where the objects that follow come from. The caller holds f.mu.
func (f *Follower) announceOrigin(o Origin) {
	if s, ok := f.Sink.(OriginSink); ok {
		s.SetOrigin(o)
	}
}

// deliverList passes a list to the sink unless the sink already has a later revision. A list
// that was answered slowly or is stale may predate a change that the watch has delivered;
// delivering the list would revert that change until the next list. The sink already has
// everything in such a list.
func (f *Follower) deliverList(objects []platform.Object, revision platform.Revision, from Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.delivered {
		f.ignoreList(revision)
		return
	}
	if f.ignoredLists > 1 {
		f.Log.Info("Lists are current again.", "era", revision.Era(), "revision", revision.Number(), "ignored", f.ignoredLists)
	}
	f.ignoredLists = 0
	if f.delivered != 0 && revision.Era() > f.delivered.Era() {
		f.recordReturn(revision)
	}
	f.delivered = revision
	f.announceOrigin(from)
	f.Sink.ApplyList(objects)
}

// recordReturn tells the sink that a list is the first one after a return of the platform's store.
// The caller holds f.mu.
func (f *Follower) recordReturn(revision platform.Revision) {
	f.Log.Warn("The platform's store is back from an older copy; its list replaces what was known.",
		"era", revision.Era(), "revision", revision.Number(), "known_era", f.delivered.Era(), "known_revision", f.delivered.Number())
	if s, ok := f.Sink.(ReturnSink); ok {
		s.PlatformReturned()
	}
}

// ignoreList counts a list that is older than what was delivered. One such list is late; several
// in a row show that the platform or a reader has an older state, which is logged once. The
// caller holds f.mu.
func (f *Follower) ignoreList(revision platform.Revision) {
	f.ignoredLists++
	f.Metrics.ignoredLists.WithLabelValues(string(f.Kind)).Inc()
	if f.ignoredLists == 2 {
		f.Log.Warn("Ignoring lists that are older than the known revision.", "era", revision.Era(), "revision", revision.Number(), "known_era", f.delivered.Era(), "known_revision", f.delivered.Number())
	}
}

// deliverChanges passes the changes up to a revision to the sink unless the sink already has
// that revision. Late changes are part of what the sink has, and would revert later ones.
func (f *Follower) deliverChanges(objects []platform.Object, revision platform.Revision, from Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(objects) == 0 || revision <= f.delivered || revision.Era() != f.delivered.Era() {
		return
	}
	f.delivered = revision
	f.announceOrigin(from)
	f.Sink.ApplyChanges(objects)
}

// deliveredRevision returns the latest revision that was delivered to the sink.
func (f *Follower) deliveredRevision() platform.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delivered
}

func (f *Follower) listAndWatch(ctx context.Context) {
	for ctx.Err() == nil {
		objects, revision, err := f.API.List(ctx, f.Kind)
		if err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		f.markReachable()
		f.deliverList(objects, revision, OriginList)
		// Resume from the delivered revision: if the list was too old to be delivered, its own
		// revision is an earlier one.
		from := f.deliveredRevision()
		if from != 0 && from == f.compacted {
			// The platform cannot resume from its own list either.
			f.pauseAfterFailure(ctx)
		} else {
			f.backoff = 0
		}
		f.watch(ctx, from)
		if from.Era() < f.API.Eras().Latest() {
			// All instances learn of a return of the store at the same time.
			_ = clock.Sleep(ctx, f.Clock, time.Duration(f.Rand.Int64N(int64(returnSpread))))
		}
	}
}

// returnSpread is the time over which the instances list again after a return of the platform's
// store.
const returnSpread = 200 * time.Millisecond

// watch delivers changes until its revision is compacted or ctx ends.
func (f *Follower) watch(ctx context.Context, revision platform.Revision) {
	for ctx.Err() == nil {
		objects, next, err := f.API.Watch(ctx, f.Kind, revision)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			f.recordCompaction(revision)
			return
		case errors.Is(err, errWatchExpired):
			f.handleExpiredWatch()
			continue
		case err != nil:
			f.handleFailure(ctx, err)
			continue
		}
		f.backoff = 0
		f.markReachable()
		revision = next
		if len(objects) > 0 {
			f.deliverChanges(objects, revision, OriginWatch)
			_ = clock.Sleep(ctx, f.Clock, f.pauseAfter(len(objects)))
		}
	}
}

// burstChanges is the number of changes in one response by which the pause after it grows by
// WatchPause.
const burstChanges = 16

// pauseAfter returns the pause after a response with a number of changes.
func (f *Follower) pauseAfter(changes int) time.Duration {
	pause := f.WatchPause * time.Duration(1+changes/burstChanges)
	return min(pause, max(f.WatchPause, f.MaxWatchPause))
}

// recordCompaction counts a watch that cannot be resumed, and logs it once for each revision.
func (f *Follower) recordCompaction(revision platform.Revision) {
	f.Metrics.compactions.WithLabelValues(string(f.Kind)).Inc()
	if f.compacted == revision {
		return
	}
	f.compacted = revision
	f.Log.Info("Revision was compacted; the objects are listed again.", "era", revision.Era(), "revision", revision.Number())
}

// markReachable records a response from the platform or a peer. Lists call it too, because a
// watch returns only on a change or at its end, which may be half a minute after an outage.
func (f *Follower) markReachable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	failingSince := f.failingSince
	f.failingSince, f.lastAnswer = time.Time{}, f.Clock.Now()
	if f.reachable {
		return
	}
	f.reachable = true
	f.Log.Info("The platform answers.", "failing_for", f.elapsedSince(failingSince).String())
	f.Sink.SetReachable(true)
}

// elapsedSince returns the time since moment, or zero if moment is the zero time.
func (f *Follower) elapsedSince(moment time.Time) time.Duration {
	if moment.IsZero() {
		return 0
	}
	return f.Clock.Now().Sub(moment)
}

// maxSilence is how long the platform may send no response before it counts as unreachable. It
// is slightly longer than the platform holds a watch without changes.
const maxSilence = 30 * time.Second

// handleExpiredWatch handles a watch that timed out on this side without a response.
func (f *Follower) handleExpiredWatch() {
	f.mu.Lock()
	unresponsive := f.Clock.Now().Sub(f.lastAnswer) > maxSilence
	f.mu.Unlock()
	if unresponsive {
		f.markUnreachable(errWatchExpired)
	}
}

// handleFailure records a failed list or watch and pauses before the next attempt.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.markUnreachable(err)
	f.pauseAfterFailure(ctx)
}

// pauseAfterFailure pauses longer after each failure in a row.
func (f *Follower) pauseAfterFailure(ctx context.Context) {
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	half := f.backoff / 2
	_ = clock.Sleep(ctx, f.Clock, half+time.Duration(f.Rand.Int64N(int64(half)+1)))
}

// markUnreachable records that the platform did not respond.
func (f *Follower) markUnreachable(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		f.failingSince = f.Clock.Now()
	}
	if !f.reachable {
		return
	}
	f.reachable = false
	f.Log.Warn("The platform does not answer.", "error", err)
	f.Sink.SetReachable(false)
}
