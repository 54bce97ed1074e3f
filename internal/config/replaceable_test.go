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

func (s *replaceablePlatform) current() *standin.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Store
}

func (s *replaceablePlatform) replace(next *standin.Store) {
	s.mu.Lock()
	old := s.Store
	s.Store = next
	s.mu.Unlock()
	// Open watches of the old store end with an error.
	old.SetFaults(standin.Faults{Outage: true})
}

func (s *replaceablePlatform) Get(ctx context.Context, k platform.Kind, name string) (platform.Object, error) {
	return s.current().Get(ctx, k, name)
}

func (s *replaceablePlatform) List(ctx context.Context, k platform.Kind) ([]platform.Object, int64, error) {
	return s.current().List(ctx, k)
}

func (s *replaceablePlatform) Delete(ctx context.Context, k platform.Kind, name string, v int64) error {
	return s.current().Delete(ctx, k, name, v)
}

func (s *replaceablePlatform) ListStale(ctx context.Context, k platform.Kind) ([]platform.Object, int64, error) {
	return s.current().ListStale(ctx, k)
}

func (s *replaceablePlatform) Put(ctx context.Context, k platform.Kind, name string, value []byte, v int64) (platform.Object, error) {
	return s.current().Put(ctx, k, name, value, v)
}

func (s *replaceablePlatform) Watch(ctx context.Context, k platform.Kind, after int64) ([]platform.Object, int64, error) {
	return s.current().Watch(ctx, k, after)
}

func (s *replaceablePlatform) Inventory(ctx context.Context) (platform.Inventory, error) {
	return s.current().Inventory(ctx)
}
