package shares

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Manager keeps the connections and slots that this instance uses of one group within
// the instance's share.
type Manager struct {
	cfg Config
	// self is Config.Self with the ID of this Manager.
	self  Holder
	log   hclog.Logger
	store ledgerStore
	// loanRequests passes borrowers' calls to the goroutine of Run.
	loanRequests chan loanRequest
	// refreshRequested makes Run read the ledger.
	refreshRequested chan struct{}
	done             chan struct{}

	// The fields up to mu are used only by the goroutine of Run.
	ledger          Ledger
	connectionUsage usage
	slotUsage       usage
	nextBorrowAt    time.Time
	borrowBackoff   time.Duration
	acquireBackoff  time.Duration
	// suspicions holds the suspected loss of holders, by share name.
	suspicions map[string]suspicion
	// refusedBorrowers holds the addresses of borrowers that were refused a loan.
	refusedBorrowers map[string]struct{}
	// restoring is set from a return of the platform's store until the ledger is restored.
	restoring *restoration
	// changeFailed is set when a change failed, so that the ledger is read again soon.
	changeFailed bool
	// announcedHeld is the value last passed to OnHeldChanged.
	announcedHeld bool

	mu sync.Mutex
	// shareHeld is true while this Manager uses a share.
	shareHeld bool
	// claiming is true from before a share is taken until the outcome is known. Until
	// then a peer that finds this instance in the ledger must not be told that it holds
	// nothing: the peer would take the share, and both would use it.
	claiming bool
	// noticeReceived is set by another holder's notice that it has capacity to lend or
	// returned some.
	noticeReceived bool
	limit          Amount
	allocation     Allocation
}

// managersCreated numbers the Managers of this process. Manager IDs are not random: two
// Managers of one group may have random sources with the same seed, and each would then
// mistake the other's share and changes for its own.
var managersCreated atomic.Uint64

// New returns a Manager that holds nothing. A process may have only one Manager of a
// group at a time: create the next one only after Close of the previous one returned
// nil.
func New(cfg Config, a Allocation) *Manager {
	cfg = cfg.withDefaults()
	self := cfg.Self
	self.ManagerID = strconv.FormatUint(managersCreated.Add(1), 36)
	return &Manager{
		cfg:  cfg,
		self: self,
		log:  cfg.Logger.Named("shares"),
		store: ledgerStore{
			api:      cfg.Platform,
			group:    cfg.Group,
			clock:    cfg.Clock,
			rand:     cfg.Rand,
			idPrefix: self.Instance + "-" + self.Incarnation + "-" + self.ManagerID,
		},
		loanRequests:     make(chan loanRequest),
		refreshRequested: make(chan struct{}, 1),
		done:             make(chan struct{}),
		suspicions:       make(map[string]suspicion),
		refusedBorrowers: make(map[string]struct{}),
		allocation:       a,
	}
}

// SetAllocation replaces the group's limits if a comes from a newer service document.
func (m *Manager) SetAllocation(a Allocation) {
	m.mu.Lock()
	newer := a.DocumentVersion > m.allocation.DocumentVersion
	if newer {
		m.allocation = a
	}
	m.mu.Unlock()
	if newer {
		m.requestRefresh()
	}
}

// Limit returns what this instance may use now, including control connections.
func (m *Manager) Limit() Amount {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit
}

// HoldsShare reports whether this instance holds a share of the group and so may open
// connections to its members.
func (m *Manager) HoldsShare() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shareHeld
}

// mayHoldConnections reports whether this instance has connections or may soon open
// some.
func (m *Manager) mayHoldConnections() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shareHeld || m.claiming
}

func (m *Manager) setShareHeld(held bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shareHeld = held
	m.claiming = false
	value := 0.0
	if held {
		value = 1
	}
	m.cfg.Metrics.shareHeld.WithLabelValues(m.cfg.Group).Set(value)
}

func (m *Manager) setClaiming() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claiming = true
}

func (m *Manager) currentAllocation() Allocation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.allocation
}

// handleCapacityNotice handles another holder's notice that capacity may be available:
// Run reads the ledger and tries to borrow without waiting for its backoff.
func (m *Manager) handleCapacityNotice() {
	m.mu.Lock()
	m.noticeReceived = true
	m.mu.Unlock()
	m.requestRefresh()
}

// consumeNotice reports whether a capacity notice arrived since the last call.
func (m *Manager) consumeNotice() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	received := m.noticeReceived
	m.noticeReceived = false
	return received
}

// requestRefresh makes Run read the ledger soon.
func (m *Manager) requestRefresh() {
	select {
	case m.refreshRequested <- struct{}{}:
	default:
	}
}
