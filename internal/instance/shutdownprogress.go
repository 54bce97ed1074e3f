package instance

import (
	"maps"
	"slices"
	"sync"
)

// shutdownProgress records which steps of a shutdown are running, and which homes are stopping, for
// the log line of a shutdown that times out.
type shutdownProgress struct {
	mu      sync.Mutex
	running map[string]struct{}
}

func newShutdownProgress() *shutdownProgress {
	return &shutdownProgress{running: make(map[string]struct{})}
}

// run takes one step.
func (p *shutdownProgress) run(step string, f func()) {
	p.mu.Lock()
	p.running[step] = struct{}{}
	p.mu.Unlock()
	f()
	p.mu.Lock()
	delete(p.running, step)
	p.mu.Unlock()
}

// unfinished returns the names of the running steps.
func (p *shutdownProgress) unfinished() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.running))
}
