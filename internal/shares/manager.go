package shares

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
)

// Manager keeps one group's connections and slots on this instance within the
// instance's seat.
type Manager struct {
	cfg Config
	// self is Config.Self with this Manager's tenure.
	self  Holder
	log   hclog.Logger
	store store
	// loans takes calls of borrowers to the goroutine of Run.
	loans chan loan
	// noticed tells that the ledger should be read.
	noticed chan struct{}
	done    chan struct{}

	// What follows belongs to the goroutine of Run.
	ledger      Ledger
	connections usage
	slots       usage
	seekAfter   time.Time
	seekPause   time.Duration
	seatPause   time.Duration
	// suspicions holds the holders that seem to have vanished, by seat.
	suspicions map[string]suspicion
	// turnedAway holds the addresses of borrowers that were refused.
	turnedAway map[string]struct{}
	// doubtful says that a change failed and the ledger should be read soon.
	doubtful bool
	// announced is what SeatChanged was last told.
	announced bool

	mu sync.Mutex
	// seated is true while this Manager uses a seat.
	seated bool
	// claiming is true from before a seat is taken until the outcome is known.
	// A peer that meets this instance in the ledger meanwhile must not be told
	// that it holds nothing: it would take the seat, and both would use it.
	claiming bool
	// offered says that another holder has share to lend or gave some back.
	offered    bool
	size       Amount
	allocation Allocation
}

// tenures counts the Managers of this process. It is no random number, because
// two Managers of one group may be given sources with the same seed, and would
// then take each other's seats and changes for their own.
var tenures atomic.Uint64

// New returns a Manager that holds nothing. A process has one Manager of a group
// at a time: make the next one only after Close of the last returned nil.
func New(cfg Config, a Allocation) *Manager {
	cfg = cfg.withDefaults()
	self := cfg.Self
	self.Tenure = strconv.FormatUint(tenures.Add(1), 36)
	return &Manager{
		cfg:  cfg,
		self: self,
		log:  cfg.Logger.Named("shares"),
		store: store{
			api:    cfg.Platform,
			group:  cfg.Group,
			clock:  cfg.Clock,
			rand:   cfg.Rand,
			prefix: self.Instance + "-" + self.Incarnation + "-" + self.Tenure,
		},
		loans:      make(chan loan),
		noticed:    make(chan struct{}, 1),
		done:       make(chan struct{}),
		suspicions: make(map[string]suspicion),
		turnedAway: make(map[string]struct{}),
		allocation: a,
	}
}

// SetAllocation takes a newer version of the service document's limits.
func (m *Manager) SetAllocation(a Allocation) {
	m.mu.Lock()
	newer := a.Document > m.allocation.Document
	if newer {
		m.allocation = a
	}
	m.mu.Unlock()
	if newer {
		m.notify()
	}
}

// Limit returns what this instance may use now, connections for control
// included.
func (m *Manager) Limit() Amount {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.size
}

// Seated reports whether this instance holds a seat of the group, so that it
// may have connections to its members.
func (m *Manager) Seated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seated
}

// holds reports whether this instance has connections or may have some soon.
func (m *Manager) holds() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seated || m.claiming
}

func (m *Manager) setSeated(seated bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seated = seated
	m.claiming = false
	value := 0.0
	if seated {
		value = 1
	}
	m.cfg.Metrics.seated.WithLabelValues(m.cfg.Group).Set(value)
}

func (m *Manager) setClaiming() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claiming = true
}

func (m *Manager) allocated() Allocation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.allocation
}

// hear takes another holder's notice that the ledger is worth reading and that
// asking for share is worth while.
func (m *Manager) hear() {
	m.mu.Lock()
	m.offered = true
	m.mu.Unlock()
	m.notify()
}

// takeOffer reports whether there was a notice since the last call.
func (m *Manager) takeOffer() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	offered := m.offered
	m.offered = false
	return offered
}

// notify makes Run read the ledger soon.
func (m *Manager) notify() {
	select {
	case m.noticed <- struct{}{}:
	default:
	}
}

// Run takes a seat and keeps it until ctx ends. Then call Close.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.done)
	refresh := m.cfg.Clock.NewTimer(0)
	sample := m.cfg.Clock.NewTimer(m.cfg.SampleInterval)
	defer refresh.Stop()
	defer sample.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.noticed:
			refresh.Reset(m.refresh(ctx))
		case <-refresh.C:
			refresh.Reset(m.refresh(ctx))
		case q := <-m.loans:
			q.reply <- m.decide(ctx, q.request)
		case <-sample.C:
			m.look(ctx)
			sample.Reset(m.cfg.SampleInterval)
		}
		if m.doubtful {
			m.doubtful = false
			refresh.Reset(m.soon())
		}
	}
}

// refresh reads the ledger and does what it asks for. It returns when to come
// again.
func (m *Manager) refresh(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	l, _, err := m.store.read(ctx)
	if err != nil {
		m.failed("platform", err)
		return m.soon()
	}
	m.adopt(l)
	if !m.seat(ctx) {
		m.seatPause = min(max(2*m.seatPause, retryInterval), m.cfg.Refresh)
		return m.seatPause/2 + time.Duration(m.cfg.Rand.Int64N(int64(m.seatPause/2)))
	}
	m.seatPause = 0
	if !m.tidy(ctx) {
		return m.soon()
	}
	return m.cfg.Refresh/2 + time.Duration(m.cfg.Rand.Int64N(int64(m.cfg.Refresh/2)))
}

// retryInterval is the longest pause before the platform is tried again.
const retryInterval = 2 * time.Second

// soon is the pause after something failed.
func (m *Manager) soon() time.Duration {
	return retryInterval/2 + time.Duration(m.cfg.Rand.Int64N(int64(retryInterval/2)))
}

// adopt makes the ledger's word on this instance's seat take effect. It is
// called only while no change of this instance is in doubt. An older version is
// as safe as the newest: only this instance lowers the size of its seat.
func (m *Manager) adopt(l Ledger) {
	m.ledger = l
	mine := l.seatOf(m.self)
	switch {
	case mine != nil && mine.Target.IsZero():
		m.apply(Amount{})
		m.announce(false)
	case mine != nil:
		if !mine.Size.Within(m.Limit()) {
			m.seekPause, m.seekAfter = 0, time.Time{}
		}
		m.apply(mine.Size)
		if !m.Seated() {
			m.setSeated(true)
			m.announce(true)
		}
	case m.Seated():
		// The seat was given to another while this process was gone from
		// everything for longer than AgeOut.
		m.log.Warn("Lost the seat, closing all connections.", "group", m.cfg.Group)
		m.apply(Amount{})
		m.announce(false)
	default:
		m.setSeated(false)
	}
}

// announce calls SeatChanged when there is something new to tell.
func (m *Manager) announce(seated bool) {
	if m.announced == seated {
		return
	}
	m.announced = seated
	m.cfg.SeatChanged(seated)
}

// apply bounds the resources.
func (m *Manager) apply(size Amount) {
	m.mu.Lock()
	m.size = size
	m.mu.Unlock()
	m.cfg.Connections.Set(max(size.Connections-m.cfg.Control, 0))
	m.cfg.Slots.Set(size.Slots)
	m.cfg.Metrics.size.WithLabelValues(m.cfg.Group, "connections").Set(float64(size.Connections))
	m.cfg.Metrics.size.WithLabelValues(m.cfg.Group, "slots").Set(float64(size.Slots))
}

// settle waits until no more than the applied size is in use.
func (m *Manager) settle(ctx context.Context) error {
	if err := m.cfg.Connections.Settle(ctx); err != nil {
		return err
	}
	return m.cfg.Slots.Settle(ctx)
}

// change updates the ledger, adopts the outcome, and counts it. An edit that has
// nothing to do in the ledger last seen costs no call.
func (m *Manager) change(ctx context.Context, kind string, edit func(*Ledger) bool) bool {
	if seen := m.ledger.clone(); !edit(&seen) {
		return false
	}
	l, stored, err := m.store.update(ctx, edit)
	if err != nil {
		m.failed("platform", err)
		m.doubtful = true
		if m.store.pending == nil {
			// Nothing was stored, so what was lowered for it may rise again.
			m.adopt(m.ledger)
		}
		return false
	}
	if stored {
		m.cfg.Metrics.changes.WithLabelValues(m.cfg.Group, kind).Inc()
		m.log.Debug("Changed the ledger.", "group", m.cfg.Group, "change", kind)
	}
	m.adopt(l)
	return stored
}

func (m *Manager) failed(callee string, err error) {
	m.cfg.Metrics.errors.WithLabelValues(m.cfg.Group, callee).Inc()
	m.log.Debug("A call failed.", "group", m.cfg.Group, "callee", callee, "error", err)
}

// Close gives the seat up. Run must have ended or be ending. It first waits
// until nothing is in use, so drain the group before; when ctx ends earlier,
// the seat stays taken and is found again by proof or by age.
func (m *Manager) Close(ctx context.Context) error {
	select {
	case <-m.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	m.apply(Amount{})
	m.announce(false)
	if err := m.settle(ctx); err != nil {
		return err
	}
	m.setSeated(false)
	for {
		err := m.vacate(ctx)
		if err == nil {
			return nil
		}
		if clock.Sleep(ctx, m.cfg.Clock, settlePause) != nil {
			return err
		}
	}
}

// vacate writes that the seat is free. What the seat has above its target goes
// to seats that are below theirs.
func (m *Manager) vacate(ctx context.Context) error {
	l, stored, err := m.store.update(ctx, func(l *Ledger) bool {
		s := l.seatOf(m.self)
		if s == nil {
			return false
		}
		s.give(nil)
		extra := s.Size.Over(s.Target)
		s.Size = s.Size.Minus(extra).Plus(l.giveBack(s.Name, extra))
		return true
	})
	if stored {
		m.cfg.Metrics.changes.WithLabelValues(m.cfg.Group, changeVacate).Inc()
		m.tell(ctx, l.others(m.self))
	}
	return err
}
