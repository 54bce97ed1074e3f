package executor

import (
	"sync"
	"time"
)

// laggingPeriod is how long a replica that lacked a position is ranked after the others. It is a
// few times the usual replication lag: a replica that has caught up is soon used again, and one
// that stays far behind costs reads one wasted request per period.
const laggingPeriod = 100 * time.Millisecond

// laggingReplicas records replicas that recently refused a read because their log did not yet
// contain the required position.
type laggingReplicas struct {
	mu           sync.Mutex
	laggingUntil map[string]time.Time
}

func newLaggingReplicas() *laggingReplicas {
	return &laggingReplicas{laggingUntil: make(map[string]time.Time)}
}

func (l *laggingReplicas) add(address string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.laggingUntil[address] = now.Add(laggingPeriod)
}

func (l *laggingReplicas) isLagging(address string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.laggingUntil[address])
}
