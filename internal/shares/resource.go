package shares

import (
	"context"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/pool"
)

// Resource is what a share bounds: a pool's connections or a gate's slots.
type Resource interface {
	// Set changes the bound without waiting.
	Set(n int)
	// Settle waits until no more than the bound is in use.
	Settle(ctx context.Context) error
	// Use tells how much is in use and how much more is waited for.
	Use() (inUse, waiting int)
}

// Pool makes a pool a Resource.
func Pool(p *pool.Limited) Resource { return poolResource{p} }

type poolResource struct{ *pool.Limited }

func (r poolResource) Set(n int) { r.SetLimit(n) }

func (r poolResource) Use() (inUse, waiting int) {
	s := r.Stats()
	return s.InUse + s.Opening, s.Waiting
}

// Gate makes a gate a Resource.
func Gate(c *admission.Controller) Resource { return gateResource{c} }

type gateResource struct{ *admission.Controller }

func (r gateResource) Set(n int) { r.SetSlots(n) }

func (r gateResource) Use() (inUse, waiting int) {
	s := r.Stats()
	return s.Running, s.Waiting
}
