package config

import (
	"context"
	"sync"
)

// Run follows the platform, pushes, repairs and settles until ctx ends. The
// fleet's view should have been read once before, so that a starting instance
// knows its peers.
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
