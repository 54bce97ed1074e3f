package shares

import "github.com/topazrock/topazrock/internal/pool"

// Pool makes a pool a Resource.
func Pool(p *pool.Limited) Resource { return poolResource{p} }

type poolResource struct{ *pool.Limited }

func (r poolResource) Set(n int) { r.SetLimit(n) }

func (r poolResource) Use() (inUse, waiting int) {
	s := r.Stats()
	return s.InUse + s.Opening, s.Waiting
}
