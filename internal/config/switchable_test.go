package config

import (
	"context"
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// switchable is a platform that can be replaced by an empty one.
type switchable struct {
	mu sync.Mutex
	*standin.Store
}

func (s *switchable) now() *standin.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Store
}

func (s *switchable) replace(next *standin.Store) {
	s.mu.Lock()
	old := s.Store
	s.Store = next
	s.mu.Unlock()
	// Waiting watches of the old store end with an error.
	old.SetFaults(standin.Faults{Outage: true})
}

func (s *switchable) Get(ctx context.Context, k platform.Kind, name string) (platform.Object, error) {
	return s.now().Get(ctx, k, name)
}

func (s *switchable) List(ctx context.Context, k platform.Kind) ([]platform.Object, int64, error) {
	return s.now().List(ctx, k)
}

func (s *switchable) Delete(ctx context.Context, k platform.Kind, name string, v int64) error {
	return s.now().Delete(ctx, k, name, v)
}

func (s *switchable) ListStale(ctx context.Context, k platform.Kind) ([]platform.Object, int64, error) {
	return s.now().ListStale(ctx, k)
}

func (s *switchable) Put(ctx context.Context, k platform.Kind, name string, value []byte, v int64) (platform.Object, error) {
	return s.now().Put(ctx, k, name, value, v)
}

func (s *switchable) Watch(ctx context.Context, k platform.Kind, after int64) ([]platform.Object, int64, error) {
	return s.now().Watch(ctx, k, after)
}

func (s *switchable) Inventory(ctx context.Context) (platform.Inventory, error) {
	return s.now().Inventory(ctx)
}
