package shares

import "context"

// Resource is what a share limits: the connections of a pool or the slots of a gate.
type Resource interface {
	// Set changes the limit without waiting.
	Set(n int)
	// WaitWithinLimit waits until usage is within the limit.
	WaitWithinLimit(ctx context.Context) error
	// Usage returns the number of units in use and the number of waiting requests.
	Usage() (inUse, waiting int)
}
