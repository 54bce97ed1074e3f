package shares

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFreedShareIsUsableElsewhere(t *testing.T) {
	// One home's callers wait while another home uses all of its share, which
	// then is freed. The holder keeps what it used lately for a window or two;
	// the borrower looks again at the end of its pause. Each run frees at
	// another moment of both.
	const longest = 3 * time.Minute
	var took []time.Duration
	for i := range 30 {
		run(t, func(is *is.I, w *world) {
			a, b, c := w.three()
			for _, m := range []*machine{b, c} {
				m.connections.demand(m.connections.bound())
				m.slots.demand(m.slots.bound())
			}
			a.connections.demand(30)
			after(3*peakWindow + time.Duration(i)*337*time.Millisecond)
			before := a.manager.Limit().Connections
			b.connections.demand(0)
			began := time.Now()
			for a.manager.Limit().Connections == before && time.Since(began) <= longest {
				after(10 * time.Millisecond)
			}
			took = append(took, time.Since(began))
		})
	}
	slices.Sort(took)
	t.Logf("freed share usable elsewhere: n=%d p50=%v max=%v", len(took), took[len(took)/2], took[len(took)-1])
	is.New(t).True(took[len(took)-1] <= longest)
}
