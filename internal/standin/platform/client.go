package platform

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/topazrock/topazrock/internal/platform"
)

// client implements the object calls of platform.API on a store, with an era of its own, as the
// product's client does over the network.
type client struct {
	store *Store
	eras  *platform.EraTracker
	// unanswered reports that a call got no response since the last response.
	unanswered *atomic.Bool
	// ignoresEras makes the client act as a build that does not know eras.
	ignoresEras bool
}

func newClient(s *Store, eras *platform.EraTracker) client {
	return client{store: s, eras: eras, unanswered: new(atomic.Bool)}
}

// observe records the era of a response; zero stands for no response.
func (c client) observe(era int64) {
	if c.ignoresEras {
		return
	}
	c.unanswered.Store(era == 0)
	c.eras.Observe(era)
}

// known returns a revision as the client knows it.
func (c client) known(r platform.Revision) platform.Revision {
	if c.ignoresEras {
		return platform.NewRevision(0, r.Number())
	}
	return r
}

// knownObjects returns objects as the client knows them.
func (c client) knownObjects(objects ...platform.Object) []platform.Object {
	for i, o := range objects {
		objects[i].Version, objects[i].Revision = c.known(o.Version), c.known(o.Revision)
	}
	return objects
}

// confirmEra learns the store's present era if calls have got no response.
func (c client) confirmEra(ctx context.Context) error {
	if !c.unanswered.Load() {
		return nil
	}
	_, err := c.Get(ctx, platform.KindInstances, "none")
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}

// Eras implements platform.API.
func (c client) Eras() *platform.EraTracker { return c.eras }

// Get implements platform.API.
func (c client) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	o, era, err := c.store.get(ctx, kind, name)
	c.observe(era)
	if err != nil {
		return platform.Object{}, err
	}
	return c.knownObjects(o)[0], c.eras.CheckRead(c.known(o.Revision).Era())
}

// List implements platform.API.
func (c client) List(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error) {
	objects, revision, err := c.store.list(ctx, kind)
	c.observe(revision.Era())
	if err != nil {
		return nil, 0, err
	}
	return c.knownObjects(objects...), c.known(revision), c.eras.CheckRead(c.known(revision).Era())
}

// ListStale implements platform.API.
func (c client) ListStale(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error) {
	return c.List(ctx, kind)
}

// Put implements platform.API.
func (c client) Put(ctx context.Context, kind platform.Kind, name string, value []byte, ifVersion platform.Revision) (platform.Object, error) {
	if err := c.eras.CheckChange(ifVersion); err != nil {
		return platform.Object{}, err
	}
	o, era, err := c.store.put(ctx, kind, name, value, ifVersion.Number())
	c.observe(era)
	if err != nil {
		return platform.Object{}, err
	}
	return c.knownObjects(o)[0], c.eras.CheckChangeResponse(ifVersion, c.known(o.Revision).Era())
}

// Delete implements platform.API.
func (c client) Delete(ctx context.Context, kind platform.Kind, name string, ifVersion platform.Revision) error {
	if err := c.eras.CheckChange(ifVersion); err != nil {
		return err
	}
	era, err := c.store.remove(ctx, kind, name, ifVersion.Number())
	c.observe(era)
	if err != nil {
		return err
	}
	return c.eras.CheckChangeResponse(ifVersion, c.known(platform.NewRevision(era, 0)).Era())
}

// Watch implements platform.API. It waits at most ten seconds.
func (c client) Watch(ctx context.Context, kind platform.Kind, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	if err := c.confirmEra(ctx); err != nil {
		return nil, after, err
	}
	if err := c.eras.CheckWatch(after); err != nil {
		return nil, after, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed, answered := c.eras.Changed(), make(chan struct{})
	defer close(answered)
	go func() {
		select {
		case <-changed:
			cancel()
		case <-answered:
		}
	}()
	objects, revision, err := c.store.watch(ctx, kind, after.Number(), defaultWait)
	c.observe(revision.Era())
	switch {
	case c.eras.CheckWatch(after) != nil:
		return nil, after, c.eras.CheckWatch(after)
	case err != nil:
		return nil, after, err
	}
	return c.knownObjects(objects...), c.known(revision), c.eras.CheckWatchResponse(after, c.known(revision).Era())
}
