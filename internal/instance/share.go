package instance

import (
	"context"

	"github.com/topazrock/topazrock/internal/shares"
)

// connectionShare limits a home's connections and slots to its share of the group's.
type connectionShare interface {
	// Run acquires the share and holds it until ctx ends. Close, called afterwards,
	// releases it.
	Run(ctx context.Context)
	Close(ctx context.Context) error
	// SetAllocation applies a newer version of the group's limits.
	SetAllocation(shares.Allocation)
	Limit() shares.Amount
	HoldsShare() bool
}
