package executor

import (
	"slices"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// avoidDraining is how long a home that said it is draining goes to the end of
	// the order: longer than a graceful stop takes.
	avoidDraining = time.Minute
	// avoidUnreached is how long one that could not be reached does. A try holds
	// units up for a quarter of a second, so that a dead home delays one in eight at
	// most.
	avoidUnreached = 2 * time.Second
)

// avoided holds homes that are shutting down or out of reach.
type avoided struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (a *avoided) add(id string, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = make(map[string]time.Time)
	}
	a.until[id] = until
}

// order returns the homes with those that are avoided last.
func (a *avoided) order(now time.Time, homes []platform.Instance) []platform.Instance {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.until) == 0 {
		return homes
	}
	for id, until := range a.until {
		if now.After(until) {
			delete(a.until, id)
		}
	}
	ordered := slices.Clone(homes)
	slices.SortStableFunc(ordered, func(x, y platform.Instance) int { return a.rank(x) - a.rank(y) })
	return ordered
}

func (a *avoided) rank(i platform.Instance) int {
	if _, ok := a.until[i.ID]; ok {
		return 1
	}
	return 0
}
