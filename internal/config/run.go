package config

import (
	"context"
	"sync"
)

// Run watches the platform, pushes changes, exchanges digests and settles
// pending changes until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.watchLoop(ctx) })
	wg.Go(func() { s.digestLoop(ctx) })
	wg.Go(func() { s.settleLoop(ctx) })
	for range pushWorkers {
		wg.Go(func() { s.pushLoop(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}
