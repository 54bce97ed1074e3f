// Package directory holds which services there are, by the operator's manifest on
// the platform, and which members they have, by the members' own entries.
//
// Both are followed by watches. A manifest's version never goes back, and what was
// learned stays in force while the platform is out of reach: members still serve,
// and callers still have to be served.
//
// Lock order: Directory.mu alone; it is not held across I/O or callbacks. Readers
// load one immutable view.
package directory

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/platform"
)

// Config is what a Directory is made of.
type Config struct {
	API     platform.API
	Decoder Decoder
	Clock   clock.Clock
	// Seed starts the random sources that spread the calls.
	Seed uint64
	Log  hclog.Logger
	// Metrics may be nil.
	Metrics *Metrics
}

// Directory follows manifest and members.
type Directory struct {
	config  Config
	log     hclog.Logger
	current atomic.Pointer[view]

	mu       sync.Mutex
	manifest Manifest
	known    bool
	// manifests counts those that were adopted.
	manifests int
	// sharing spares the platform most calls; nil without.
	sharing     *objectwatch.Sharing
	roster      *roster
	subscribers []func()
}

// New returns a Directory that knows nothing yet; Run makes it learn.
func New(c Config) *Directory {
	if c.Metrics == nil {
		c.Metrics = NewMetrics(nil)
	}
	d := &Directory{config: c, log: c.Log.Named("directory"), roster: newRoster()}
	d.current.Store(emptyView())
	return d
}

// Subscribe calls f after each change. f must not block.
func (d *Directory) Subscribe(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, f)
}

const (
	// manifestCheck bounds how late a manifest is learned while watches hear
	// nothing: with a slow call it is still within the three seconds that an
	// operator waits for a change.
	manifestCheck = 2 * time.Second
	// upstreamCheck does so for members' entries; one that leaves serves on for
	// several seconds.
	upstreamCheck = 3 * time.Second
	// checkGrace is what a reader's list may be older than the time between two checks,
	// for the calls themselves.
	checkGrace = 300 * time.Millisecond
)

// UseSharing lets other instances read for this one, and this one for them. It comes
// before Run.
func (d *Directory) UseSharing(s *objectwatch.Sharing) { d.sharing = s }

// upstreamSettle gathers the entries of members that start or change together into
// one answer of the watch.
const upstreamSettle = 200 * time.Millisecond

// lapseCheck is how often missing entries are looked at.
const lapseCheck = 500 * time.Millisecond

// Run follows the platform until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	var parts sync.WaitGroup
	parts.Go(func() { d.manifestFollower().Run(ctx) })
	parts.Go(func() { d.upstreamFollower().Run(ctx) })
	parts.Go(func() { d.watchLapses(ctx) })
	parts.Wait()
	return ctx.Err()
}

func (d *Directory) manifestFollower() *objectwatch.Follower {
	c := objectwatch.Config{
		API: d.config.API, Kind: platform.KindManifest, Sink: manifestSink{d}, Clock: d.config.Clock, Log: d.config.Log,
		Rand: rand.New(rand.NewPCG(d.config.Seed, 1)), Check: manifestCheck,
	}
	return d.shared(c)
}

func (d *Directory) upstreamFollower() *objectwatch.Follower {
	return d.shared(objectwatch.Config{
		API: d.config.API, Kind: platform.KindUpstreams, Sink: upstreamSink{d}, Clock: d.config.Clock, Log: d.config.Log,
		Rand: rand.New(rand.NewPCG(d.config.Seed, 2)), Check: upstreamCheck, Stale: true, Settle: upstreamSettle,
	})
}

// shared returns a follower that shares its calls where that can be done.
func (d *Directory) shared(c objectwatch.Config) *objectwatch.Follower {
	if d.sharing != nil {
		api := d.sharing.API(c.Kind, c.Check+checkGrace)
		c.API, c.Peers = api, api
	}
	return objectwatch.New(c)
}

// watchLapses publishes anew when a missing entry's grace is over.
func (d *Directory) watchLapses(ctx context.Context) {
	waiting := false
	for clock.Sleep(ctx, d.config.Clock, lapseCheck) == nil {
		d.mu.Lock()
		was := waiting
		waiting = d.roster.waiting(d.config.Clock.Now())
		d.mu.Unlock()
		if was || waiting {
			d.publish()
		}
	}
}

// publish makes the present state the view, and tells the subscribers if it
// differs from the last one.
func (d *Directory) publish() {
	d.mu.Lock()
	old := d.current.Load()
	present := d.roster.present(d.config.Clock.Now())
	if old.manifest == d.manifests && slices.Equal(old.present, present) {
		d.mu.Unlock()
		return
	}
	d.current.Store(d.build(old, present))
	subscribers := d.subscribers
	d.mu.Unlock()
	for _, f := range subscribers {
		f()
	}
}

// adoptManifest takes a manifest unless a later one is in force.
func (d *Directory) adoptManifest(o platform.Object) {
	if o.Name != platform.ManifestName || o.Removed {
		return
	}
	m, err := d.config.Decoder.Manifest(o)
	if err != nil {
		d.log.Error("Manifest cannot be read; the last one stays in force.", "revision", o.Revision, "error", err)
		return
	}
	d.mu.Lock()
	held, later := d.manifest.Version, !d.known || m.Version > d.manifest.Version
	if later {
		d.manifest, d.known = m, true
		d.manifests++
	}
	d.mu.Unlock()
	switch {
	case later:
		d.log.Info("Manifest is in force.", "version", m.Version, "before", held, "databases", len(m.Databases), "workspaces", len(m.Workspaces.All()))
		d.reportFaults(m)
	case m.Version < held:
		d.log.Info("Manifest is older than the one in force.", "version", m.Version, "in_force", held)
	}
}

// reportFaults logs and counts what of a manifest names no workspace.
func (d *Directory) reportFaults(m Manifest) {
	for _, f := range m.Faults {
		d.config.Metrics.workspaceFaults.Inc()
		d.log.Warn("Workspace cannot be used as it is written.", "version", m.Version, "workspace", f.Workspace, "reason", f.Reason)
	}
}

// adoptEntry takes a change of a member's entry.
func (d *Directory) adoptEntry(o platform.Object, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Removed {
		d.roster.remove(o.Name, now)
		d.log.Info("Member's entry is gone.", "member", o.Name)
		return
	}
	u, err := d.config.Decoder.Upstream(o)
	if err != nil {
		d.log.Warn("Member's entry cannot be read; it names no member.", "member", o.Name, "error", err)
		return
	}
	if !d.roster.put(u, o.Revision) {
		return
	}
	d.log.Info("Member's entry.", "member", u.ID, "group", u.Group, "address", u.Address, "leaving", u.Leaving, "leads", u.Leads)
}
