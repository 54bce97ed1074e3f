package homechoice

import (
	"slices"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// DefaultShutdownTime is how long a home that reported that it is draining is tried last,
	// unless SetShutdownTime sets another time.
	DefaultShutdownTime = time.Minute
	// AvoidUnreachableFor is how long an unreachable home is tried last. An attempt delays
	// units by a quarter of a second, so a dead home delays at most one in eight.
	AvoidUnreachableFor = 2 * time.Second
)

// Avoided records homes that are shutting down or unreachable. The zero value is ready for use.
type Avoided struct {
	mu           sync.Mutex
	avoidedUntil map[string]time.Time
}

// Add has the home tried last until the given time.
func (a *Avoided) Add(id string, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.avoidedUntil == nil {
		a.avoidedUntil = make(map[string]time.Time)
	}
	a.avoidedUntil[id] = until
}

// Order returns the homes with the avoided ones moved to the end.
func (a *Avoided) Order(now time.Time, homes []platform.Instance) []platform.Instance {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.avoidedUntil) == 0 {
		return homes
	}
	for id, until := range a.avoidedUntil {
		if now.After(until) {
			delete(a.avoidedUntil, id)
		}
	}
	ordered := slices.Clone(homes)
	slices.SortStableFunc(ordered, func(x, y platform.Instance) int { return a.rank(x) - a.rank(y) })
	return ordered
}

func (a *Avoided) rank(i platform.Instance) int {
	if _, ok := a.avoidedUntil[i.ID]; ok {
		return 1
	}
	return 0
}
