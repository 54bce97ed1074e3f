package config

import (
	"context"
	"sync"
)

// Run follows the platform, pushes, repairs and settles until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	var parts sync.WaitGroup
	parts.Go(func() { s.watchLoop(ctx) })
	parts.Go(func() { s.digestLoop(ctx) })
	parts.Go(func() { s.settleLoop(ctx) })
	for range pushWorkers {
		parts.Go(func() { s.pushLoop(ctx) })
	}
	parts.Wait()
	return ctx.Err()
}
