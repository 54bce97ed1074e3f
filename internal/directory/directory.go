// Package directory tracks the services defined by the operator's manifest on the platform, and
// their members, which register themselves with entries of their own.
//
// Both are followed through watches. A manifest never replaces one with a higher version, and
// the last known state stays in force while the platform is unreachable: members still serve,
// and callers must still be served.
//
// Lock order: Directory.mu is the only lock; it is not held across I/O or callbacks. Readers
// load one immutable view.
package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/platform"
)

// Config holds the dependencies and settings of a Directory.
type Config struct {
	API     platform.API
	Decoder Decoder
	Clock   clock.Clock
	// Seed seeds the random sources that spread calls over time.
	Seed uint64
	Log  hclog.Logger
	// Metrics may be nil.
	Metrics *Metrics
}

// Directory follows the manifest and the entries of the members.
type Directory struct {
	config  Config
	log     hclog.Logger
	current atomic.Pointer[view]

	mu            sync.Mutex
	manifest      Manifest
	manifestIndex manifestIndex
	manifestKnown bool
	// manifestObject is the object that manifest was decoded from, and manifestOrigin how it arrived.
	manifestObject platform.Object
	manifestOrigin objectwatch.Origin
	// manifestConfirmed is set once a manifest may be in force; see confirmManifest.
	manifestConfirmed bool
	// manifestCount is the number of manifests applied so far.
	manifestCount int
	// sharing shares platform reads with other instances; nil if sharing is disabled.
	sharing *objectwatch.Sharing
	// peers are asked for later manifests; nil if there are none.
	peers   *manifestPeers
	members *memberTable
	// unusable are the entries that name no usable member. A member whose entry becomes one keeps
	// what it reported last until its entry is removed.
	unusable    *objectwatch.Unusable
	subscribers []func()
}

// New returns an empty Directory; Run fills it.
func New(c Config) *Directory {
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	d := &Directory{config: c, log: c.Log.Named("directory"), members: newMemberTable()}
	d.unusable = objectwatch.NewUnusable(platform.KindUpstreams, d.log, nil)
	d.current.Store(emptyView())
	return d
}

// Subscribe registers f to be called after each change. f must not block.
func (d *Directory) Subscribe(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, f)
}

const (
	// manifestCheckInterval bounds the delay until a changed manifest is applied when watches
	// deliver no events: including a slow call, it stays within the three seconds that an
	// operator waits for a change.
	manifestCheckInterval = 2 * time.Second
	// upstreamCheckInterval is the same bound for members' entries. It can be longer because a
	// member that leaves keeps serving for several seconds.
	upstreamCheckInterval = 3 * time.Second
	// listAgeMargin is how much older than the check interval a reader's list may be, to allow
	// for the duration of the calls themselves.
	listAgeMargin = 300 * time.Millisecond
)

// UseSharing makes this instance share platform reads with other instances. It must be called
// before Run.
func (d *Directory) UseSharing(s *objectwatch.Sharing) {
	d.sharing = s
	d.unusable = objectwatch.NewUnusable(platform.KindUpstreams, d.log, s.Metrics)
}

// upstreamWatchPause batches the entries of members that start or change together into one
// watch response.
const upstreamWatchPause = 200 * time.Millisecond

// maxUpstreamWatchPause is the same while hundreds of members register in a second. A member that leaves
// keeps serving for several seconds.
const maxUpstreamWatchPause = time.Second

// missingCheckInterval is the time between two checks for missing entries whose grace period
// has ended.
const missingCheckInterval = 500 * time.Millisecond

// Run follows the platform until ctx is done.
func (d *Directory) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { d.newManifestFollower().Run(ctx) })
	loops.Go(func() { d.newUpstreamFollower().Run(ctx) })
	loops.Go(func() { d.checkMissing(ctx) })
	if d.peers != nil {
		loops.Go(func() { d.runManifestChecks(ctx) })
	}
	loops.Wait()
	return ctx.Err()
}

func (d *Directory) newManifestFollower() *objectwatch.Follower {
	c := objectwatch.Config{
		API: d.config.API, Kind: platform.KindManifest, Sink: &manifestSink{d: d}, Clock: d.config.Clock, Log: d.config.Log,
		Rand: rand.New(rand.NewPCG(d.config.Seed, 1)), CheckInterval: manifestCheckInterval,
	}
	return d.newFollower(c)
}

func (d *Directory) newUpstreamFollower() *objectwatch.Follower {
	return d.newFollower(objectwatch.Config{
		API: d.config.API, Kind: platform.KindUpstreams, Sink: upstreamSink{d}, Clock: d.config.Clock, Log: d.config.Log,
		Rand: rand.New(rand.NewPCG(d.config.Seed, 2)), CheckInterval: upstreamCheckInterval, AllowStaleLists: true, WatchPause: upstreamWatchPause,
		MaxWatchPause: maxUpstreamWatchPause,
	})
}

// newFollower returns a follower, which shares its reads if sharing is enabled.
func (d *Directory) newFollower(c objectwatch.Config) *objectwatch.Follower {
	if d.sharing != nil {
		api := d.sharing.API(c.Kind, c.CheckInterval+listAgeMargin)
		c.API, c.Peers, c.Metrics = api, api, d.sharing.Metrics
	}
	return objectwatch.New(c)
}

// checkMissing publishes the view again when the grace period of a missing entry ends.
func (d *Directory) checkMissing(ctx context.Context) {
	pending := false
	for clock.Sleep(ctx, d.config.Clock, missingCheckInterval) == nil {
		d.mu.Lock()
		wasPending := pending
		pending = d.members.pruneRemoved(d.config.Clock.Now())
		d.mu.Unlock()
		if wasPending || pending {
			d.publish()
		}
	}
}

// publish replaces the view with the current state and calls the subscribers if the state has
// changed.
func (d *Directory) publish() {
	d.mu.Lock()
	if !d.confirmManifest() {
		d.mu.Unlock()
		d.requestManifestCheck()
		return
	}
	previous := d.current.Load()
	changes := previous.differing(d.members.changes(d.config.Clock.Now()))
	if previous.manifestCount == d.manifestCount && len(changes) == 0 {
		d.mu.Unlock()
		return
	}
	next := d.buildView(previous, changes)
	d.current.Store(next)
	d.config.Metrics.views.Inc()
	d.reportManifest(previous, next)
	subscribers := d.subscribers
	d.mu.Unlock()
	for _, f := range subscribers {
		f()
	}
}

// reportManifest logs and counts a manifest that a new view puts in force. The caller holds d.mu.
func (d *Directory) reportManifest(previous, next *view) {
	if previous.manifestCount == next.manifestCount {
		return
	}
	d.config.Metrics.setManifest(next.version, d.manifestOrigin, d.config.Clock.Now())
	d.log.Info("Manifest is in force.", "version", next.version, "before", previous.version, "origin", d.manifestOrigin,
		"revision", d.manifestObject.Revision.Number(), "databases", len(next.databases), "workspaces", len(next.workspaces.All()))
}

// applyManifest takes over a manifest unless the current one has the same or a higher version. It is in
// force once it is published.
func (d *Directory) applyManifest(o platform.Object, from objectwatch.Origin) {
	if o.Name != platform.ManifestName || o.Removed || d.isInForce(o) {
		return
	}
	m, err := d.config.Decoder.DecodeManifest(o)
	if err != nil {
		d.log.Error("Cannot decode manifest; keeping the previous one.", "revision", o.Revision, "error", err)
		return
	}
	d.mu.Lock()
	current, isNewer := d.manifest.Version, !d.manifestKnown || m.Version > d.manifest.Version
	if isNewer {
		d.setManifest(m, o, from)
	}
	d.mu.Unlock()
	switch {
	case isNewer:
		d.reportInvalidWorkspaces(m)
	case m.Version < current:
		d.log.Info("Ignoring manifest older than the one in force.", "version", m.Version, "in_force", current, "origin", from)
	}
}

// isInForce reports whether an object is the one that the manifest in force was decoded from. Checks
// list it again and again, and decoding one of a thousand databases takes some ten milliseconds.
func (d *Directory) isInForce(o platform.Object) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.manifestKnown && o.Revision != 0 && o.Revision == d.manifestObject.Revision
}

// setManifest replaces the manifest. The caller holds d.mu.
func (d *Directory) setManifest(m Manifest, o platform.Object, from objectwatch.Origin) {
	d.manifest, d.manifestKnown, d.manifestObject, d.manifestOrigin = m, true, o, from
	d.manifestIndex = newManifestIndex(m)
	d.manifestCount++
}

// reportInvalidWorkspaces logs and counts the workspaces and keys of a manifest that cannot be
// used.
func (d *Directory) reportInvalidWorkspaces(m Manifest) {
	for _, f := range m.InvalidWorkspaces {
		d.config.Metrics.workspaceFaults.Inc()
		d.log.Warn("Invalid workspace in manifest.", "version", m.Version, "workspace", f.Workspace, "reason", f.Reason)
	}
}

// applyMember applies a change of a member's entry.
func (d *Directory) applyMember(o platform.Object, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Removed {
		d.unusable.Forget(o.Name)
		d.members.markMissing(o.Name, now)
		d.log.Info("Member's entry was removed.", "member", o.Name)
		return
	}
	u, err := d.config.Decoder.DecodeUpstream(o)
	if err != nil {
		d.unusable.Report(o, err)
		return
	}
	d.unusable.Forget(o.Name)
	if !d.members.update(u, o.Revision, now) {
		return
	}
	d.log.Info("Member's entry changed.", "member", u.ID, "group", u.Group, "address", u.Address, "leaving", u.Leaving, "leads", u.ClaimsPrimary)
}
