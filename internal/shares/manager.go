package shares

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
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
