package shares

import "github.com/topazrock/topazrock/internal/pool"

// PoolResource returns a Resource that limits the connections of a pool.
func PoolResource(p *pool.Limited) Resource { return poolResource{p} }

type poolResource struct{ *pool.Limited }

func (r poolResource) Set(n int) { r.SetLimit(n) }

func (r poolResource) Usage() (inUse, waiting int) {
	s := r.Stats()
	return s.InUse + s.Opening, s.Waiting
}
