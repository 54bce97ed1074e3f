package admission

import "math/rand/v2"

// forkRand makes a random source of its own for one controller: a source is used
// under one lock only.
func forkRand(r *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }
