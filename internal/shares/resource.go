package shares

import "context"

// Resource is what a share bounds: a pool's connections or a gate's slots.
type Resource interface {
	// Set changes the bound without waiting.
	Set(n int)
	// Settle waits until no more than the bound is in use.
	Settle(ctx context.Context) error
	// Use tells how much is in use and how much more is waited for.
	Use() (inUse, waiting int)
}
