package bench

import (
	"math/rand/v2"
	"sync"
)

// maxRecentWrites is the number of acknowledged writes that are kept for each group.
const maxRecentWrites = 512

// recentWrites holds recently acknowledged writes of each group, for sessions that
// read rows of other sessions.
type recentWrites struct {
	mu      sync.Mutex
	byGroup map[int][]writeRecord
	next    int
}

// add adds an acknowledged write. If the group already has maxRecentWrites, the write
// replaces an older one.
func (r *recentWrites) add(w writeRecord) {
	if w.key == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if writes := r.byGroup[w.group]; len(writes) < maxRecentWrites {
		r.byGroup[w.group] = append(writes, w)
	} else {
		r.next++
		writes[r.next%maxRecentWrites] = w
	}
}

// pick returns a random write of a group, or false if there is none.
func (r *recentWrites) pick(rng *rand.Rand, group int) (writeRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writes := r.byGroup[group]
	if len(writes) == 0 {
		return writeRecord{}, false
	}
	return writes[rng.IntN(len(writes))], true
}
