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

// Watcher implements Tracker for one group, with one goroutine per member.
type Watcher struct {
	group         string
	clock         clock.Clock
	log           hclog.Logger
	metrics       *Metrics
	intervals     Intervals
	onConnections func(address string, connections int)
	onSilence     func(since time.Time)
	snapshot      atomic.Pointer[Snapshot]

	mu      sync.Mutex
	rand    *rand.Rand
	pollers []*poller
	// quorum decides which sets of the members are sufficient.
	quorum quorum
	// minSize is Config.MinSize, dialer opens the pollers' connections, and startPoller
	// starts a poller; startPoller is nil while the Watcher is not running.
	minSize     int
	dialer      member.Dialer
	startPoller func(p *poller)
	lastTicket  uint64
	term        logpos.Term
	primary     string
	termStart   logpos.Position
	ledTerm     logpos.Term
	// primaryPosition is the highest position that the primary has reported in the term.
	primaryPosition logpos.Position
	// searchingSince is when the search for a responding primary began; zero while there
	// is one.
	searchingSince time.Time
	// stallLogged is true once the current stall was logged.
	stallLogged bool
	samples     samples
	// lastFloor is the last floor that a majority proved in the term. It may lie past
	// every acknowledged write. It is dropped at the end of the term, since the next
	// term's log may never hold its position.
	lastFloor sample
	waiters   map[*waiter]struct{}
	// changes is closed and replaced when the term, the primary or a member's reachability
	// changes.
	changes chan struct{}
}

var _ Tracker = (*Watcher)(nil)

// NewWatcher returns a Watcher without any reports; Run starts polling.
func NewWatcher(c Config) *Watcher {
	w := &Watcher{
		group:         c.Group,
		clock:         c.Clock,
		log:           c.Logger,
		metrics:       c.Metrics,
		intervals:     c.Intervals,
		minSize:       c.MinSize,
		dialer:        c.Dialer,
		rand:          c.Rand,
		waiters:       make(map[*waiter]struct{}),
		changes:       make(chan struct{}),
		onSilence:     c.OnSilentConnection,
		onConnections: c.OnConnections,
	}
	if w.onSilence == nil {
		w.onSilence = func(time.Time) {}
	}
	if w.onConnections == nil {
		w.onConnections = func(string, int) {}
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
		w.addPoller(m)
	}
	w.updateQuorum()
	w.publishSnapshot()
	return w
}

// Run polls the members until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	w.mu.Lock()
	w.startPoller = func(p *poller) {
		ctx, stop := context.WithCancel(ctx)
		p.stop = stop
		wg.Go(func() { p.run(ctx) })
	}
	for _, p := range w.pollers {
		w.startPoller(p)
	}
	w.mu.Unlock()
	<-ctx.Done()
	w.mu.Lock()
	w.startPoller = nil
	w.mu.Unlock()
	wg.Wait()
}

// ProvenPosition implements Tracker.
func (w *Watcher) ProvenPosition(notBefore time.Time) (logpos.TermPosition, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if mark, ok := w.samples.oldestProven(notBefore, w.isQuorum); ok {
		return mark, true
	}
	fresh := w.lastFloor.ticket.number > 0 && !w.lastFloor.ticket.at.Before(notBefore)
	return w.lastFloor.mark, fresh
}

// Snapshot implements Tracker.
func (w *Watcher) Snapshot() *Snapshot { return w.snapshot.Load() }

// Changes returns a channel that is closed at the next change of the term, the primary, or
// a member's reachability. Call it before reading the Snapshot.
func (w *Watcher) Changes() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changes
}

// AwaitPrimary returns the first snapshot that has a primary, or the error of ctx if ctx
// ends first.
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

// SetLeaving replaces the set of addresses that the platform lists as leaving.
func (w *Watcher) SetLeaving(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := false
	for _, p := range w.pollers {
		leaving := slices.Contains(addresses, p.view.Address)
		changed = changed || leaving != p.view.Leaving
		p.view.Leaving = leaving
	}
	if changed {
		w.updateQuorum()
		w.signalChange()
		w.publishSnapshot()
	}
}

// ReportFailure implements Tracker. It closes the kept connection, so that the next query
// is sent on a new one.
func (w *Watcher) ReportFailure(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.findPoller(address)
	if p == nil {
		return
	}
	// Hundreds of statements fail together when a member dies or is overloaded. One new
	// connection is enough to check the member; more would only add load.
	now := w.clock.Now()
	if now.Sub(p.view.ReportedAt) < w.intervals.FastPoll || now.Sub(p.reconnectRequestedAt) < w.intervals.Wait {
		return
	}
	p.reconnectRequested, p.reconnectRequestedAt = true, now
	if p.cancelQuery != nil {
		p.cancelQuery()
	}
	p.wake()
}

// Recheck implements Tracker.
func (w *Watcher) Recheck(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.findPoller(address)
	if p == nil || w.clock.Now().Sub(p.queriedAt) < w.intervals.FastPoll {
		return
	}
	p.queriedAt, p.answeredStatementAt = time.Time{}, time.Time{}
	p.wake()
}

// LastAnswerAt returns the send time of the last query or statement that the member answered;
// zero if it has answered none.
func (w *Watcher) LastAnswerAt(address string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.findPoller(address)
	switch {
	case p == nil:
		return time.Time{}
	case p.answeredStatementAt.After(p.view.ReportedAt):
		return p.answeredStatementAt
	default:
		return p.view.ReportedAt
	}
}

// NewTicket implements Tracker.
func (w *Watcher) NewTicket() Ticket {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newTicket()
}

func (w *Watcher) newTicket() Ticket {
	w.lastTicket++
	return Ticket{number: w.lastTicket, at: w.clock.Now()}
}

func (w *Watcher) findPoller(address string) *poller {
	for _, p := range w.pollers {
		if p.view.Address == address {
			return p
		}
	}
	return nil
}

// signalChange wakes all receivers of Changes.
func (w *Watcher) signalChange() {
	close(w.changes)
	w.changes = make(chan struct{})
}
