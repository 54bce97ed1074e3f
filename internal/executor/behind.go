package executor

import (
	"sync"
	"time"
)

// behindFor is how long a replica that lacked a position goes behind the others.
// It is a few times a usual lag, so that a replica that caught up is soon asked
// again, and one that stays far behind costs a read one question in this time.
const behindFor = 100 * time.Millisecond

// behind remembers replicas that lately refused a read because their log lacked
// its position.
type behind struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newBehind() *behind { return &behind{until: make(map[string]time.Time)} }

func (b *behind) add(address string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until[address] = now.Add(behindFor)
}

func (b *behind) at(address string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.until[address])
}
