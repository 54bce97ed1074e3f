package memberhealth

import (
	"sync"
	"time"
)

// LaggingPeriod is how long a replica that lacked a position is ranked after the others. It is a
// few times the usual replication lag: a replica that has caught up is soon used again, and one
// that stays far behind costs reads one wasted request per period.
const LaggingPeriod = 100 * time.Millisecond

// LaggingReplicas records replicas that recently refused a read because their log did not yet
// contain the required position.
type LaggingReplicas struct {
	mu           sync.Mutex
	laggingUntil map[string]time.Time
}

// NewLaggingReplicas returns an empty record.
func NewLaggingReplicas() *LaggingReplicas {
	return &LaggingReplicas{laggingUntil: make(map[string]time.Time)}
}

// Add records that a replica lacked a position.
func (l *LaggingReplicas) Add(address string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.laggingUntil[address] = now.Add(LaggingPeriod)
}

// IsLagging reports whether a replica recently lacked a position.
func (l *LaggingReplicas) IsLagging(address string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.laggingUntil[address])
}
