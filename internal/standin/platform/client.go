package platform

import (
	"context"

	"github.com/topazrock/topazrock/internal/platform"
)

// client implements the object calls of platform.API on a store, with an era of its own, as the
// product's client does over the network.
type client struct {
	store *Store
	eras  *platform.EraTracker
}

// Eras implements platform.API.
func (c client) Eras() *platform.EraTracker { return c.eras }

// Get implements platform.API.
func (c client) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	o, era, err := c.store.get(ctx, kind, name)
	c.eras.Observe(era)
	if err != nil {
		return platform.Object{}, err
	}
	return o, c.eras.CheckRead(era)
}

// List implements platform.API.
func (c client) List(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error) {
	objects, revision, err := c.store.list(ctx, kind)
	if err != nil {
		return nil, 0, err
	}
	c.eras.Observe(revision.Era())
	return objects, revision, c.eras.CheckRead(revision.Era())
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
	c.eras.Observe(era)
	if err != nil {
		return platform.Object{}, err
	}
	return o, c.eras.CheckChangeResponse(ifVersion, era)
}

// Delete implements platform.API.
func (c client) Delete(ctx context.Context, kind platform.Kind, name string, ifVersion platform.Revision) error {
	if err := c.eras.CheckChange(ifVersion); err != nil {
		return err
	}
	era, err := c.store.remove(ctx, kind, name, ifVersion.Number())
	c.eras.Observe(era)
	if err != nil {
		return err
	}
	return c.eras.CheckChangeResponse(ifVersion, era)
}

// Watch implements platform.API. It waits at most ten seconds.
func (c client) Watch(ctx context.Context, kind platform.Kind, after platform.Revision) ([]platform.Object, platform.Revision, error) {
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
	c.eras.Observe(revision.Era())
	switch {
	case c.eras.CheckWatch(after) != nil:
		return nil, after, c.eras.CheckWatch(after)
	case err != nil:
		return nil, after, err
	}
	return objects, revision, c.eras.CheckWatchResponse(after, revision.Era())
}
