// Package registry makes an instance known to the others by an object of its own
// on the platform, and follows theirs.
//
// An entry is written when an instance starts and removed when it stops. There is
// no heartbeat: with many instances, every beat would wake every watch. An instance
// that died stays listed until another one finds that nobody answers there; what
// is sent to it before is sent elsewhere, because it was not taken.
package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// retryPause is the time between two tries to write the own entry.
	retryPause = time.Second
	// settle is the pause before the watch goes on after a change: all instances
	// start together, and their entries are told in one call.
	settle = time.Second
)

// List takes the instances that are known.
type List interface {
	Adopt(instances []platform.Instance)
}

// Config is what a Registry is made of.
type Config struct {
	API   platform.API
	Self  platform.Instance
	List  List
	Clock clock.Clock
	// Seed starts the random source that spreads the calls.
	Seed uint64
	Log  hclog.Logger
}

// Registry keeps one instance's entry and follows the others'.
type Registry struct {
	Config
	// entries is used by the follower's goroutine alone.
	entries map[string]platform.Instance
}

// New returns a Registry; Run makes it work.
func New(c Config) *Registry {
	c.Log = c.Log.Named("registry")
	return &Registry{Config: c, entries: make(map[string]platform.Instance)}
}

// Run writes the own entry and follows the others until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.announce(ctx)
		if err == nil {
			break
		}
		r.Log.Warn("The instance's entry was not written yet.", "error", err)
		_ = clock.Sleep(ctx, r.Clock, retryPause)
	}
	objectwatch.New(objectwatch.Config{
		API: r.API, Kind: platform.KindInstances, Sink: r, Clock: r.Clock, Log: r.Log,
		Rand: rand.New(rand.NewPCG(r.Seed, 3)), Settle: settle,
	}).Run(ctx)
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
	clear(r.entries)
	r.Changed(objects)
}

// Changed implements objectwatch.Sink. An entry that cannot be read names nobody.
func (r *Registry) Changed(objects []platform.Object) {
	for _, o := range objects {
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
	var all []platform.Instance
	for _, i := range r.entries {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	r.List.Adopt(all)
}

// Touch implements objectwatch.Sink. The last list stays in use without touch.
func (r *Registry) Touch(bool) {}
