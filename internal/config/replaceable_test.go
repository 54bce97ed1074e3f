package config

import (
	"context"
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// replaceablePlatform is a platform whose store can be replaced during a test.
type replaceablePlatform struct {
	mu sync.Mutex
	*standin.Store
}

func (p *replaceablePlatform) current() *standin.Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Store
}

func (p *replaceablePlatform) replace(next *standin.Store) {
	p.mu.Lock()
	old := p.Store
	p.Store = next
	p.mu.Unlock()
	// Open watches of the old store end with an error.
	old.SetFaults(standin.Faults{Outage: true})
}

func (p *replaceablePlatform) Get(ctx context.Context, k platform.Kind, name string) (platform.Object, error) {
	return p.current().Get(ctx, k, name)
}

func (p *replaceablePlatform) List(ctx context.Context, k platform.Kind) ([]platform.Object, platform.Revision, error) {
	return p.current().List(ctx, k)
}

func (p *replaceablePlatform) Delete(ctx context.Context, k platform.Kind, name string, v platform.Revision) error {
	return p.current().Delete(ctx, k, name, v)
}

func (p *replaceablePlatform) ListStale(ctx context.Context, k platform.Kind) ([]platform.Object, platform.Revision, error) {
	return p.current().ListStale(ctx, k)
}

func (p *replaceablePlatform) Put(ctx context.Context, k platform.Kind, name string, value []byte, v platform.Revision) (platform.Object, error) {
	return p.current().Put(ctx, k, name, value, v)
}

func (p *replaceablePlatform) Watch(ctx context.Context, k platform.Kind, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	return p.current().Watch(ctx, k, after)
}

func (p *replaceablePlatform) Inventory(ctx context.Context) (platform.Inventory, error) {
	return p.current().Inventory(ctx)
}
