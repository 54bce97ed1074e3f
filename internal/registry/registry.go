// Package registry publishes an instance's entry on the platform and follows the entries of the
// other instances.
//
// An entry is written when an instance starts and removed when it stops. There is no heartbeat:
// with many instances, each one would wake every watch. The entry of a crashed instance stays
// until one of the two instances that monitor it finds that it has not answered for
// removeAfter. A request sent to it before that was never accepted and is sent to another
// instance instead. An instance that was only unreachable sees that its entry was removed and
// writes it again.
//
// When the platform's store returns from an older copy, the entries of instances that started
// since are missing. They stay listed for returnGrace, in which those instances write them again.
package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// retryInterval is the time between two attempts to write this instance's entry.
	retryInterval = time.Second
	// watchPause is the pause before watching again after a change: all instances start
	// together, and the pause lets the watch deliver their entries in one response.
	watchPause = time.Second
	// missingDelay is how long this instance's entry must be missing to count as removed. An
	// instance that starts may get a list from a peer that has not seen the new entry yet; that
	// peer sees it after at most two pauses between watches.
	missingDelay = 3 * watchPause
	// returnGrace is how long an entry that a return of the platform's store has removed stays
	// listed. It covers the random delay of up to returnSpread after which the instance writes it
	// again, a failed attempt, and the watch.
	returnGrace  = 5 * time.Second
	returnSpread = 1500 * time.Millisecond
)

// InstanceSink receives the list of known instances.
type InstanceSink interface {
	SetInstances(instances []platform.Instance)
}

// Config holds the dependencies and settings of a Registry.
type Config struct {
	API platform.API
	// EntriesAPI is the API for following the entries of all instances; API if nil.
	EntriesAPI   platform.API
	Self         platform.Instance
	InstanceSink InstanceSink
	Clock        clock.Clock
	// Seed seeds the random source that spreads calls over time.
	Seed uint64
	Log  hclog.Logger
	// Peers calls the other instances. If it is nil, entries of dead instances stay listed and
	// a removed own entry is not restored.
	Peers peer.Caller
	// ListRelay exchanges lists with other instances. If it is nil, each instance lists the others
	// itself.
	ListRelay ListRelay
	// WatchMetrics may be nil.
	WatchMetrics *objectwatch.Metrics
}

// Registry maintains the entry of one instance and follows those of the others.
type Registry struct {
	Config
	// ownEntryMissing holds a token when this instance's entry is missing.
	ownEntryMissing chan struct{}
	// announced holds the peer address of an instance that provides the list of instances.
	announced chan string
	// toAnnounce holds the targets of announcements that are to be made.
	toAnnounce chan []string

	// mu guards entries and is not held across calls.
	mu      sync.Mutex
	entries map[string]platform.Instance
	// returned is set from a return of the platform's store until the first list after it. kept
	// holds the entries that this list lacks, which count until keptUntil.
	returned  bool
	kept      map[string]platform.Instance
	keptUntil time.Time
	// unusable are the entries that name no usable instance; guarded by mu.
	unusable *objectwatch.Unusable
}

// New returns a Registry; Run starts it.
func New(c Config) *Registry {
	if c.EntriesAPI == nil {
		c.EntriesAPI = c.API
	}
	c.Log = c.Log.Named("registry")
	return &Registry{Config: c, ownEntryMissing: make(chan struct{}, 1), announced: make(chan string, 1), toAnnounce: make(chan []string, maxWaitingAnnouncements), entries: make(map[string]platform.Instance),
		unusable: objectwatch.NewUnusable(platform.KindInstances, c.Log, c.WatchMetrics)}
}

// Run writes this instance's entry, follows the others, and monitors two of them, until ctx is
// done.
func (r *Registry) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	random := rand.New(rand.NewPCG(r.Seed, 3))
	if r.sharesLists() {
		loops.Go(func() { r.announceWhenRequested(ctx) })
	}
	r.loadStaleList(ctx)
	if err := r.writeOwnEntry(ctx); err != nil {
		r.Log.Warn("Writing the instance's entry failed; will retry.", "error", err)
		loops.Go(func() { r.retryOwnEntry(ctx) })
	}
	if !r.knowsOtherInstances() {
		// All instances of a new deployment start together.
		r.discover(ctx, random)
	}
	if r.Peers != nil {
		loops.Go(func() { r.restoreOwnEntry(ctx) })
		loops.Go(func() { r.expireKeptEntries(ctx) })
		loops.Go(func() { newSweeper(r).run(ctx) })
	}
	objectwatch.New(objectwatch.Config{
		API: r.EntriesAPI, Kind: platform.KindInstances, Sink: r, Clock: r.Clock, Log: r.Log,
		Rand: random, WatchPause: watchPause, Metrics: r.WatchMetrics,
	}).Run(ctx)
}

// loadStaleList loads the other instances from a list that may be some seconds old. It costs
// the platform little and yields the peers that can provide the current list.
func (r *Registry) loadStaleList(ctx context.Context) {
	objects, revision, err := r.API.ListStale(ctx, platform.KindInstances)
	if err != nil {
		r.Log.Info("Listing the instances failed.", "error", err)
		return
	}
	r.applyDiscovered(objects)
	if r.knowsOtherInstances() {
		r.provideList(objects, revision)
	}
}

// knowsOtherInstances reports whether any other instance is known.
func (r *Registry) knowsOtherInstances() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.entries {
		if id != r.Self.ID {
			return true
		}
	}
	return false
}

// retryOwnEntry writes this instance's entry, retrying until it succeeds or ctx is done.
func (r *Registry) retryOwnEntry(ctx context.Context) {
	for clock.Sleep(ctx, r.Clock, retryInterval) == nil {
		err := r.writeOwnEntry(ctx)
		if err == nil {
			return
		}
		r.Log.Warn("Writing the instance's entry failed; will retry.", "error", err)
	}
}

// restoreOwnEntry writes this instance's entry again whenever it was removed, as soon as a peer
// is reachable. If it were written earlier, it would be removed again, and homes would change
// each time.
func (r *Registry) restoreOwnEntry(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 4))
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.ownEntryMissing:
		}
		if r.lostOwnEntryInReturn() {
			r.rewriteOwnEntry(ctx, random)
			continue
		}
		if clock.Sleep(ctx, r.Clock, missingDelay) != nil {
			return
		}
		if r.ownEntryListed() {
			continue
		}
		r.Log.Warn("The instance's entry was removed.")
		for !r.anyAlive(ctx, ringSuccessors(r.knownInstances(), r.Self.ID)) {
			if clock.Sleep(ctx, r.Clock, sweepInterval) != nil {
				return
			}
		}
		if err := r.writeOwnEntry(ctx); err != nil {
			r.Log.Warn("Writing the instance's entry failed; will retry.", "error", err)
			r.retryOwnEntry(ctx)
		}
	}
}

// writeOwnEntry writes this instance's entry, replacing an entry left by an earlier process of
// the same instance.
func (r *Registry) writeOwnEntry(ctx context.Context) error {
	value, err := json.Marshal(r.Self)
	if err != nil {
		return err
	}
	_, err = r.API.Put(ctx, platform.KindInstances, r.Self.ID, value, 0)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	if r.ownEntryListed() {
		return nil
	}
	stored, err := r.API.Get(ctx, platform.KindInstances, r.Self.ID)
	if err != nil || string(stored.Value) == string(value) {
		return err
	}
	_, err = r.API.Put(ctx, platform.KindInstances, r.Self.ID, value, stored.Version)
	return err
}

// RemoveOwnEntry removes this instance's entry.
func (r *Registry) RemoveOwnEntry(ctx context.Context) error {
	stored, err := r.API.Get(ctx, platform.KindInstances, r.Self.ID)
	if err != nil {
		return err
	}
	return r.API.Delete(ctx, platform.KindInstances, r.Self.ID, stored.Version)
}

// ApplyList implements objectwatch.Sink.
func (r *Registry) ApplyList(objects []platform.Object) {
	r.mu.Lock()
	if r.returned {
		r.keepEntries(objects)
	}
	clear(r.entries)
	r.unusable.Retain(objects)
	r.mu.Unlock()
	r.ApplyChanges(objects)
}

// ApplyChanges implements objectwatch.Sink. It ignores entries that cannot be decoded.
func (r *Registry) ApplyChanges(objects []platform.Object) {
	r.mu.Lock()
	for _, o := range objects {
		r.applyObject(o)
	}
	r.mu.Unlock()
	if !r.ownEntryListed() {
		select {
		case r.ownEntryMissing <- struct{}{}:
		default:
		}
	}
	r.InstanceSink.SetInstances(r.knownInstances())
}

// ownEntryListed reports whether this instance's entry is known with the expected content.
func (r *Registry) ownEntryListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[r.Self.ID] == r.Self
}

// applyObject applies one changed or removed object. The caller holds r.mu.
func (r *Registry) applyObject(o platform.Object) {
	if o.Removed {
		delete(r.entries, o.Name)
		delete(r.kept, o.Name)
		r.unusable.Forget(o.Name)
		return
	}
	i, err := decodeEntry(o)
	if err != nil {
		r.unusable.Report(o, err)
		return
	}
	r.unusable.Forget(o.Name)
	r.entries[o.Name] = i
}

// knownInstances returns the known instances ordered by ID.
func (r *Registry) knownInstances() []platform.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []platform.Instance
	for _, i := range r.entries {
		all = append(all, i)
	}
	for id, i := range r.kept {
		if _, listed := r.entries[id]; !listed {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// SetReachable implements objectwatch.Sink. It does nothing: the last list stays in use while the
// platform is unreachable.
func (r *Registry) SetReachable(bool) {}
