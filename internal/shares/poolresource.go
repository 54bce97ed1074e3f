package shares

import "github.com/topazrock/topazrock/internal/pool"

// Pool returns a Resource that limits the connections of a pool.
func Pool(p *pool.Limited) Resource { return poolResource{p} }

type poolResource struct{ *pool.Limited }

func (r poolResource) Set(n int) { r.SetLimit(n) }

func (r poolResource) Use() (inUse, waiting int) {
	s := r.Stats()
	return s.InUse + s.Opening, s.Waiting
}
