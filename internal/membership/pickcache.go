package membership

import (
	"slices"
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
)

// pickKey names a task, the number of instances of each failure domain that it is for, and whether
// capable ones are preferred.
type pickKey struct {
	key     string
	count   int
	capable bool
}

// pickCache holds the instances that were picked for tasks from one list of instances. Its lock is held
// with no other.
type pickCache struct {
	mu     sync.Mutex
	picked map[pickKey][]platform.Instance
}

func newPickCache() *pickCache { return &pickCache{picked: make(map[pickKey][]platform.Instance)} }

// get returns a copy of the instances picked for a task.
func (c *pickCache) get(k pickKey) ([]platform.Instance, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	picked, ok := c.picked[k]
	return slices.Clone(picked), ok
}

// put stores the instances picked for a task and returns a copy.
func (c *pickCache) put(k pickKey, picked []platform.Instance) []platform.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.picked[k] = picked
	return slices.Clone(picked)
}
