package instance

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// random returns a separate random source for a component, so that components share no lock
// and one seed makes each of them reproducible.
func (n *Instance) random(component string) *rand.Rand {
	name := n.options.Settings.Instance.ID + "/" + component
	return rand.New(rand.NewPCG(n.options.Seed, xxhash.Sum64String(name)))
}
