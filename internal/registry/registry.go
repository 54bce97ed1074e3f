// Package registry makes an instance known to the others by an object of its own
// on the platform, and follows theirs.
//
// An entry is written when an instance starts and removed when it stops. There is
// no heartbeat: with many instances, every beat would wake every watch. An instance
// that died stays listed until one of the two that watch it finds that nobody has
// answered there for a while; what is sent to it before is sent elsewhere, because
// it was not taken. One that was only out of reach sees that its entry is gone and
// writes it again.
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
	// retryPause is the time between two tries to write the own entry.
	retryPause = time.Second
	// settle is the pause before the watch goes on after a change: all instances
	// start together, and their entries are told in one call.
	settle = time.Second
	// lossSettle is how long the own entry must be missing to be taken for removed. An
	// instance that starts may be told a list by a peer that has not heard of it, which
	// takes that peer up to two pauses between watches.
	lossSettle = 3 * settle
)

// List takes the instances that are known.
type List interface {
	Adopt(instances []platform.Instance)
}

// Config is what a Registry is made of.
type Config struct {
	API platform.API
	// Entries is how the entries of all instances are followed; API if it is not set.
	Entries platform.API
	Self    platform.Instance
	List    List
	Clock   clock.Clock
	// Seed starts the random source that spreads the calls.
	Seed uint64
	Log  hclog.Logger
	// Peers calls the other instances; nil leaves dead ones listed.
	Peers peer.Caller
}

// Registry keeps one instance's entry and follows the others'.
type Registry struct {
	Config
	// lost takes a token when the own entry is gone.
	lost chan struct{}

	// mu guards entries and is held for no call.
	mu      sync.Mutex
	entries map[string]platform.Instance
}

// New returns a Registry; Run makes it work.
func New(c Config) *Registry {
	if c.Entries == nil {
		c.Entries = c.API
	}
	c.Log = c.Log.Named("registry")
	return &Registry{Config: c, lost: make(chan struct{}, 1), entries: make(map[string]platform.Instance)}
}

// Run writes the own entry, follows the others, and watches two of them, until ctx
// ends.
func (r *Registry) Run(ctx context.Context) {
	var parts sync.WaitGroup
	defer parts.Wait()
	spread := rand.New(rand.NewPCG(r.Seed, 3))
	r.meet(ctx)
	if err := r.announce(ctx); err != nil {
		r.Log.Warn("The instance's entry was not written yet.", "error", err)
		parts.Go(func() { r.write(ctx) })
	}
	if !r.knowsOthers() {
		// A fleet that starts for the first time starts together.
		_ = clock.Sleep(ctx, r.Clock, settle+time.Duration(spread.Int64N(int64(settle/2))))
		r.meet(ctx)
	}
	if r.Peers != nil {
		parts.Go(func() { r.keep(ctx) })
		parts.Go(func() { newSweeper(r).run(ctx) })
	}
	objectwatch.New(objectwatch.Config{
		API: r.Entries, Kind: platform.KindInstances, Sink: r, Clock: r.Clock, Log: r.Log,
		Rand: spread, Settle: settle,
	}).Run(ctx)
}

// meet learns the other instances from a list that may be some seconds old. It costs the
// platform little, and names those that can tell the present one.
func (r *Registry) meet(ctx context.Context) {
	objects, _, err := r.API.ListStale(ctx, platform.KindInstances)
	if err != nil {
		r.Log.Info("The instances were not listed yet.", "error", err)
		return
	}
	r.mu.Lock()
	for _, o := range objects {
		r.take(o)
	}
	r.mu.Unlock()
	if r.knowsOthers() {
		r.List.Adopt(r.listed())
	}
}

// knowsOthers reports whether any other instance is known.
func (r *Registry) knowsOthers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.entries {
		if id != r.Self.ID {
			return true
		}
	}
	return false
}

// write writes the own entry, as often as it takes.
func (r *Registry) write(ctx context.Context) {
	for clock.Sleep(ctx, r.Clock, retryPause) == nil {
		err := r.announce(ctx)
		if err == nil {
			return
		}
		r.Log.Warn("The instance's entry was not written yet.", "error", err)
	}
}

// keep writes the own entry again whenever it is gone, once a peer can be reached:
// written before, it would be removed again, and each time homes would change.
func (r *Registry) keep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.lost:
		}
		if clock.Sleep(ctx, r.Clock, lossSettle) != nil {
			return
		}
		if r.isListed() {
			continue
		}
		r.Log.Warn("The instance's entry was removed.")
		for !r.reachesAny(ctx, ring(r.listed(), r.Self.ID)) {
			if clock.Sleep(ctx, r.Clock, sweepInterval) != nil {
				return
			}
		}
		if err := r.announce(ctx); err != nil {
			r.Log.Warn("The instance's entry was not written yet.", "error", err)
			r.write(ctx)
		}
	}
}

// announce writes the own entry over whatever an earlier process of this instance
// left there.
func (r *Registry) announce(ctx context.Context) error {
	value, err := json.Marshal(r.Self)
	if err != nil {
		return err
	}
	_, err = r.API.Put(ctx, platform.KindInstances, r.Self.ID, value, 0)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	if r.isListed() {
		return nil
	}
	held, err := r.API.Get(ctx, platform.KindInstances, r.Self.ID)
	if err != nil || string(held.Value) == string(value) {
		return err
	}
	_, err = r.API.Put(ctx, platform.KindInstances, r.Self.ID, value, held.Version)
	return err
}

// Withdraw removes the own entry.
func (r *Registry) Withdraw(ctx context.Context) error {
	held, err := r.API.Get(ctx, platform.KindInstances, r.Self.ID)
	if err != nil {
		return err
	}
	return r.API.Delete(ctx, platform.KindInstances, r.Self.ID, held.Version)
}

// Listed implements objectwatch.Sink.
func (r *Registry) Listed(objects []platform.Object) {
	r.mu.Lock()
	clear(r.entries)
	r.mu.Unlock()
	r.Changed(objects)
}

// Changed implements objectwatch.Sink. An entry that cannot be read names nobody.
func (r *Registry) Changed(objects []platform.Object) {
	r.mu.Lock()
	for _, o := range objects {
		r.take(o)
	}
	r.mu.Unlock()
	if !r.isListed() {
		select {
		case r.lost <- struct{}{}:
		default:
		}
	}
	r.List.Adopt(r.listed())
}

// isListed reports whether the own entry, as it should be, is among those that are known.
func (r *Registry) isListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[r.Self.ID] == r.Self
}

// take takes in one object. The caller holds r.mu.
func (r *Registry) take(o platform.Object) {
	var i platform.Instance
	err := json.Unmarshal(o.Value, &i)
	switch {
	case o.Removed:
		delete(r.entries, o.Name)
	case err != nil || i.ID != o.Name || i.PeerAddress == "":
		r.Log.Warn("Entry of an instance cannot be read.", "instance", o.Name, "error", err)
	default:
		r.entries[o.Name] = i
	}
}

// listed returns the instances that are known, by ID.
func (r *Registry) listed() []platform.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []platform.Instance
	for _, i := range r.entries {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Touch implements objectwatch.Sink. The last list stays in use without touch.
func (r *Registry) Touch(bool) {}
