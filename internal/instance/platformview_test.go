package instance

import (
	"context"
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// platformView is the platform as one instance reaches it.
type platformView struct {
	store *standin.Store

	mu   sync.Mutex
	away bool
	// thawed is not nil while the instance is frozen, and is closed at its thaw.
	thawed chan struct{}
}

func (v *platformView) set(away bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.away = away
}

func (v *platformView) freeze() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.thawed == nil {
		v.thawed = make(chan struct{})
	}
}

func (v *platformView) thaw() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.thawed != nil {
		close(v.thawed)
		v.thawed = nil
	}
}

func (v *platformView) reach(ctx context.Context) error {
	v.mu.Lock()
	away, thawed := v.away, v.thawed
	v.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
	if away {
		return platform.ErrUnavailable
	}
	return ctx.Err()
}

func (v *platformView) Get(ctx context.Context, k platform.Kind, name string) (platform.Object, error) {
	if err := v.reach(ctx); err != nil {
		return platform.Object{}, err
	}
	return v.store.Get(ctx, k, name)
}

func (v *platformView) List(ctx context.Context, k platform.Kind) ([]platform.Object, int64, error) {
	if err := v.reach(ctx); err != nil {
		return nil, 0, err
	}
	return v.store.List(ctx, k)
}

func (v *platformView) ListStale(ctx context.Context, k platform.Kind) ([]platform.Object, int64, error) {
	return v.List(ctx, k)
}

func (v *platformView) Put(ctx context.Context, k platform.Kind, name string, value []byte, ifVersion int64) (platform.Object, error) {
	if err := v.reach(ctx); err != nil {
		return platform.Object{}, err
	}
	return v.store.Put(ctx, k, name, value, ifVersion)
}

func (v *platformView) Delete(ctx context.Context, k platform.Kind, name string, ifVersion int64) error {
	if err := v.reach(ctx); err != nil {
		return err
	}
	return v.store.Delete(ctx, k, name, ifVersion)
}

func (v *platformView) Watch(ctx context.Context, k platform.Kind, after int64) ([]platform.Object, int64, error) {
	if err := v.reach(ctx); err != nil {
		return nil, after, err
	}
	return v.store.Watch(ctx, k, after)
}

func (v *platformView) Inventory(ctx context.Context) (platform.Inventory, error) {
	if err := v.reach(ctx); err != nil {
		return platform.Inventory{}, err
	}
	return v.store.Inventory(ctx)
}
