package instance

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// random returns a source of its own for one part, so that parts need no common
// lock and a seed makes every part repeatable.
func (n *Instance) random(part string) *rand.Rand {
	name := n.options.Settings.Instance.ID + "/" + part
	return rand.New(rand.NewPCG(n.options.Seed, xxhash.Sum64String(name)))
}
