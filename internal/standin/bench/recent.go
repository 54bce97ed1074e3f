package bench

import (
	"math/rand/v2"
	"sync"
)

// recentKept is how many acked writes of each group sessions read of each other.
const recentKept = 512

// recent holds the newest acked writes of each group.
type recent struct {
	mu     sync.Mutex
	groups map[int][]entry
	next   int
}

// note adds an acked write.
func (r *recent) note(e entry) {
	if e.key == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if kept := r.groups[e.group]; len(kept) < recentKept {
		r.groups[e.group] = append(kept, e)
	} else {
		r.next++
		kept[r.next%recentKept] = e
	}
}

// any returns one of a group's writes.
func (r *recent) any(rng *rand.Rand, group int) (entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.groups[group]
	if len(kept) == 0 {
		return entry{}, false
	}
	return kept[rng.IntN(len(kept))], true
}
