package shares

import (
	"context"
	"sync"

	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

// fakeResource opens connections up to the demand and the limit, keeps idle ones open,
// and takes closeLatency to close those above a lowered limit.
type fakeResource struct {
	instance *fakeInstance
	unit     Amount

	mu       sync.Mutex
	limit    int
	demand   int
	held     int
	extra    int
	closing  bool
	released bool
	// stuck connections stay in use.
	stuck bool
}

// keepInUse makes the open connections stay in use until the process ends.
func (r *fakeResource) keepInUse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stuck = true
}

// addExtra changes the number of connections that do not count towards the limit.
func (r *fakeResource) addExtra(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return
	}
	r.extra += n
	r.reportHeld(n)
}

// reportHeld adds n units to what the simulation counts as held.
func (r *fakeResource) reportHeld(n int) {
	r.instance.sim.addHeld(r.instance, Amount{n * r.unit.Connections, n * r.unit.Slots})
}

// releaseAll closes everything, as the end of the process does.
func (r *fakeResource) releaseAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportHeld(-r.held - r.extra)
	r.held, r.extra, r.released = 0, 0, true
}

// setDemand sets how many units callers would use if the limit allowed it.
func (r *fakeResource) setDemand(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand = n
	r.adjust()
}

func (r *fakeResource) Set(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = n
	r.adjust()
}

// adjust opens connections at once and starts closing those above the limit.
func (r *fakeResource) adjust() {
	if r.released {
		return
	}
	if grow := min(r.demand, r.limit) - r.held; grow > 0 && !r.closing {
		r.held += grow
		r.reportHeld(grow)
	}
	if r.held > r.limit && !r.closing && !r.stuck {
		r.closing = true
		go r.closeExcess()
	}
}

func (r *fakeResource) closeExcess() {
	_ = clock.Sleep(context.Background(), clock.System{}, closeLatency)
	_ = r.instance.blockWhileFrozen(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closing = false
	if r.released {
		return
	}
	if over := r.held - r.limit; over > 0 {
		r.held -= over
		r.reportHeld(-over)
	}
	r.adjust()
}

func (r *fakeResource) WaitWithinLimit(ctx context.Context) error {
	for {
		if err := r.instance.blockWhileFrozen(ctx); err != nil {
			return err
		}
		r.mu.Lock()
		ok := r.held <= r.limit
		r.mu.Unlock()
		if ok {
			return nil
		}
		if err := clock.Sleep(ctx, clock.System{}, time.Millisecond); err != nil {
			return err
		}
	}
}

// currentLimit returns the limit that was set last.
func (r *fakeResource) currentLimit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limit
}

func (r *fakeResource) Usage() (inUse, waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(r.held, r.demand), max(r.demand-r.held, 0)
}
