package instance

import (
	"context"

	"github.com/topazrock/topazrock/internal/shares"
)

// share is what keeps a home's connections and slots within its part.
type connectionShare interface {
	// Run holds the share until ctx ends; Close gives it back behind it.
	Run(ctx context.Context)
	Close(ctx context.Context) error
	// SetAllocation takes a newer version of the group's limits.
	SetAllocation(shares.Allocation)
	Limit() shares.Amount
	Seated() bool
}
