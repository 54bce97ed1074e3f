package admission

import "math/rand/v2"

// forkRand returns a random source for one controller. A source must be used under one lock
// only.
func forkRand(r *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }
