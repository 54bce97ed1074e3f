package group

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// Watcher implements Tracker for one group with one goroutine a member.
type Watcher struct {
	group     string
	clock     clock.Clock
	log       hclog.Logger
	metrics   *Metrics
	intervals Intervals
	onSilence func(since time.Time)
	snapshot  atomic.Pointer[Snapshot]

	mu        sync.Mutex
	rand      *rand.Rand
	followers []*follower
	// quorum tells which of them are enough for a confirmation.
	quorum quorum
	// least is Config.Size, dialer opens the followers' connections, and running
	// starts one; nil while the Watcher does not run.
	least     int
	dialer    member.Dialer
	running   func(f *follower)
	tickets   uint64
	term      logpos.Term
	primary   string
	termStart logpos.Position
	led       logpos.Term
	// head is the highest position that the primary reported in the term.
	head logpos.Position
	// searchingSince is when the search for a primary that answers began; zero while
	// there is one.
	searchingSince time.Time
	// stallLogged says that the present stall was logged.
	stallLogged bool
	samples     samples
	// lastFloor is the last floor that a majority proved in the term; it may lie
	// past what is acknowledged, and is dropped with the term, whose end may never
	// be in the log of the next.
	lastFloor sample
	waiters   map[*waiter]struct{}
	// changed is closed and replaced when the term, the primary or a member's
	// suspicion changes.
	changed chan struct{}
}

var _ Tracker = (*Watcher)(nil)

// NewWatcher returns a Watcher that knows nothing yet; Run makes it learn.
func NewWatcher(c Config) *Watcher {
	w := &Watcher{
		group:     c.Group,
		clock:     c.Clock,
		log:       c.Logger,
		metrics:   c.Metrics,
		intervals: c.Intervals,
		least:     c.Size,
		dialer:    c.Dialer,
		rand:      c.Rand,
		waiters:   make(map[*waiter]struct{}),
		changed:   make(chan struct{}),
		onSilence: c.OnSilence,
	}
	if w.onSilence == nil {
		w.onSilence = func(time.Time) {}
	}
	if w.log == nil {
		w.log = hclog.NewNullLogger()
	}
	w.log = w.log.Named("group")
	if w.metrics == nil {
		w.metrics = NewMetrics(nil)
	}
	if w.intervals == (Intervals{}) {
		w.intervals = DefaultIntervals()
	}
	for _, m := range c.Members {
		w.addFollower(m)
	}
	w.countSeats()
	w.publish()
	return w
}

// Run asks the members until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	w.mu.Lock()
	w.running = func(f *follower) {
		ctx, stop := context.WithCancel(ctx)
		f.stop = stop
		wg.Go(func() { f.run(ctx) })
	}
	for _, f := range w.followers {
		w.running(f)
	}
	w.mu.Unlock()
	<-ctx.Done()
	w.mu.Lock()
	w.running = nil
	w.mu.Unlock()
	wg.Wait()
}

// Proven implements Tracker.
func (w *Watcher) Proven(notBefore time.Time) (logpos.Mark, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if mark, ok := w.samples.oldest(notBefore, w.enough); ok {
		return mark, true
	}
	fresh := w.lastFloor.ticket.number > 0 && !w.lastFloor.ticket.at.Before(notBefore)
	return w.lastFloor.mark, fresh
}

// Snapshot implements Tracker.
func (w *Watcher) Snapshot() *Snapshot { return w.snapshot.Load() }

// Changes returns a channel that is closed at the next change of the term, the
// primary, or of whether a member fails. Take it before reading the Snapshot.
func (w *Watcher) Changes() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// AwaitPrimary returns the first snapshot that has a primary, or the error of
// ctx if it ends before.
func (w *Watcher) AwaitPrimary(ctx context.Context) (*Snapshot, error) {
	for {
		changed := w.Changes()
		if s := w.Snapshot(); s.Primary != "" {
			return s, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
}

// SetLeaving replaces the addresses that the platform lists as leaving.
func (w *Watcher) SetLeaving(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := false
	for _, f := range w.followers {
		leaving := slices.Contains(addresses, f.view.Address)
		changed = changed || leaving != f.view.Leaving
		f.view.Leaving = leaving
	}
	if changed {
		w.countSeats()
		w.notify()
		w.publish()
	}
}

// ReportFailure implements Tracker. The kept connection is given up, so that
// the next question goes out on a new one.
func (w *Watcher) ReportFailure(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.find(address)
	if f == nil {
		return
	}
	// Statements fail by the hundred when a member dies or is full; one new
	// connection settles all, and more of them would only add to the load.
	now := w.clock.Now()
	if now.Sub(f.view.SeenAt) < w.intervals.FastPoll || now.Sub(f.doubtedAt) < w.intervals.Wait {
		return
	}
	f.doubted, f.doubtedAt = true, now
	if f.interrupt != nil {
		f.interrupt()
	}
	f.wake()
}

// Recheck implements Tracker.
func (w *Watcher) Recheck(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.find(address)
	if f == nil || w.clock.Now().Sub(f.askedAt) < w.intervals.FastPoll {
		return
	}
	f.askedAt, f.observedAt = time.Time{}, time.Time{}
	f.wake()
}

// HeardAt returns when a member was last asked anything that it answered, a statement
// included; zero where it never was.
func (w *Watcher) HeardAt(address string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.find(address)
	switch {
	case f == nil:
		return time.Time{}
	case f.observedAt.After(f.view.SeenAt):
		return f.observedAt
	default:
		return f.view.SeenAt
	}
}

// Ask implements Tracker.
func (w *Watcher) Ask() Ticket {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ticket()
}

func (w *Watcher) ticket() Ticket {
	w.tickets++
	return Ticket{number: w.tickets, at: w.clock.Now()}
}

func (w *Watcher) find(address string) *follower {
	for _, f := range w.followers {
		if f.view.Address == address {
			return f
		}
	}
	return nil
}

// notify wakes everyone who waits on Changes.
func (w *Watcher) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}
