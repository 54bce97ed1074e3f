package shares

import (
	"context"
	"sync"

	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

// fakeResource opens as much as is demanded and allowed, keeps what is idle
// open, and closes slowly when its limit is lowered.
type fakeResource struct {
	m    *machine
	unit Amount

	mu      sync.Mutex
	limit   int
	want    int
	held    int
	extra   int
	closing bool
	gone    bool
	// stuck connections stay in use.
	stuck bool
}

// stick keeps what is held in use for good.
func (r *fakeResource) stick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stuck = true
}

// add counts connections beside the limit.
func (r *fakeResource) add(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return
	}
	r.extra += n
	r.count(n)
}

// count tells the members.
func (r *fakeResource) count(n int) {
	r.m.w.hold(r.m, Amount{n * r.unit.Connections, n * r.unit.Slots})
}

// release drops everything, as the end of the process does.
func (r *fakeResource) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(-r.held - r.extra)
	r.held, r.extra, r.gone = 0, 0, true
}

// demand sets how much callers would use.
func (r *fakeResource) demand(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.want = n
	r.work()
}

func (r *fakeResource) Set(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = n
	r.work()
}

// work opens at once and closes with a delay.
func (r *fakeResource) work() {
	if r.gone {
		return
	}
	if grow := min(r.want, r.limit) - r.held; grow > 0 && !r.closing {
		r.held += grow
		r.count(grow)
	}
	if r.held > r.limit && !r.closing && !r.stuck {
		r.closing = true
		go r.close()
	}
}

func (r *fakeResource) close() {
	_ = clock.Sleep(context.Background(), clock.System{}, closeLatency)
	_ = r.m.thawed(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closing = false
	if r.gone {
		return
	}
	if over := r.held - r.limit; over > 0 {
		r.held -= over
		r.count(-over)
	}
	r.work()
}

func (r *fakeResource) Settle(ctx context.Context) error {
	for {
		if err := r.m.thawed(ctx); err != nil {
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

// bound returns the limit.
func (r *fakeResource) bound() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limit
}

func (r *fakeResource) Use() (inUse, waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(r.held, r.want), max(r.want-r.held, 0)
}
