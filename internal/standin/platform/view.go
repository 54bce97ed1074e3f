package platform

import (
	"context"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// callTimeout and watchTimeout limit calls and watches, as an instance's platform
	// client does. Without them, a call without a response would never end.
	callTimeout  = 2 * time.Second
	watchTimeout = 30 * time.Second
)

// View is one instance's connection to the platform. It can be cut or frozen.
type View struct {
	store *Store
	client

	mu           sync.Mutex
	disconnected bool
	// thaw is non-nil while the instance is frozen and is closed by Thaw.
	thaw chan struct{}
}

// NewView returns a connected view of a store.
func NewView(s *Store) *View {
	return &View{store: s, client: newClient(s, platform.NewEraTracker(clock.System{}))}
}

// IgnoreEras makes the instance act as a build that does not know eras. It must be called before
// the first call.
func (v *View) IgnoreEras() { v.client.ignoresEras = true }

// SetDisconnected disconnects the instance from the platform, or reconnects it.
func (v *View) SetDisconnected(disconnected bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disconnected = disconnected
}

// Freeze blocks all new calls until Thaw, as if the instance's process were stopped.
func (v *View) Freeze() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.thaw == nil {
		v.thaw = make(chan struct{})
	}
}

// Thaw unblocks the calls that Freeze blocked.
func (v *View) Thaw() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.thaw != nil {
		close(v.thaw)
		v.thaw = nil
	}
}

func (v *View) waitReachable(ctx context.Context) error {
	v.mu.Lock()
	disconnected, thaw := v.disconnected, v.thaw
	v.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
	if disconnected {
		return platform.ErrUnavailable
	}
	return ctx.Err()
}

// Get implements platform.API.
func (v *View) Get(ctx context.Context, k platform.Kind, name string) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := v.waitReachable(ctx); err != nil {
		return platform.Object{}, err
	}
	return v.client.Get(ctx, k, name)
}

// List implements platform.API.
func (v *View) List(ctx context.Context, k platform.Kind) ([]platform.Object, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := v.waitReachable(ctx); err != nil {
		return nil, 0, err
	}
	return v.client.List(ctx, k)
}

// ListStale implements platform.API.
func (v *View) ListStale(ctx context.Context, k platform.Kind) ([]platform.Object, platform.Revision, error) {
	return v.List(ctx, k)
}

// Put implements platform.API.
func (v *View) Put(ctx context.Context, k platform.Kind, name string, value []byte, ifVersion platform.Revision) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := v.waitReachable(ctx); err != nil {
		return platform.Object{}, err
	}
	return v.client.Put(ctx, k, name, value, ifVersion)
}

// Delete implements platform.API.
func (v *View) Delete(ctx context.Context, k platform.Kind, name string, ifVersion platform.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := v.waitReachable(ctx); err != nil {
		return err
	}
	return v.client.Delete(ctx, k, name, ifVersion)
}

// Watch implements platform.API.
func (v *View) Watch(ctx context.Context, k platform.Kind, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if err := v.waitReachable(ctx); err != nil {
		return nil, after, err
	}
	return v.client.Watch(ctx, k, after)
}

// Inventory implements platform.API.
func (v *View) Inventory(ctx context.Context) (platform.Inventory, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := v.waitReachable(ctx); err != nil {
		return platform.Inventory{}, err
	}
	return v.store.Inventory(ctx)
}
