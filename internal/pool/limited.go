package pool

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/waitlist"
	"github.com/topazrock/topazrock/internal/wire"
)

// Limited is a Pool that never holds more connections than its limit.
type Limited struct {
	cfg Config
	log hclog.Logger
	// background is the context of the pool's own goroutines. It is canceled when Close
	// ends.
	background context.Context
	stop       context.CancelFunc
	gauges     gauges

	mu    sync.Mutex
	limit int
	// memberLimit bounds the connections to each member; zero means no limit.
	memberLimit int
	conns       map[wire.Conn]*pooledConn
	members     map[string]*memberState
	// lostUntil is the time until which members may count lost connections; zero if none are
	// expected.
	lostUntil time.Time
	waiters   waitlist.List[*waiter]
	arrivals  uint64
	inUse     int
	opening   int
	probing   int
	// closing counts closings that the member has not confirmed yet, and failed openings
	// whose connection the member may have accepted.
	closing int
	idle    int
	closed  bool
	// countsChanged is notified when a connection stops counting and when an opening ends.
	countsChanged *waitlist.Signal
	costs         costs
}

var _ Pool = (*Limited)(nil)

// New returns a Limited without connections.
func New(cfg Config) *Limited {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	p := &Limited{
		cfg:           cfg,
		log:           cfg.Logger.Named("pool"),
		background:    ctx,
		stop:          stop,
		gauges:        cfg.Metrics.gaugesFor(cfg.Group),
		limit:         cfg.Limit,
		conns:         make(map[wire.Conn]*pooledConn),
		members:       make(map[string]*memberState),
		countsChanged: waitlist.NewSignal(),
		waiters:       waitlist.New((*waiter).before),
		costs:         costs{lastEviction: cfg.Clock.Now()},
	}
	if cfg.TrimInterval > 0 {
		go p.trimPeriodically(cfg.TrimInterval)
	}
	return p
}

// Stats returns the current counts.
func (p *Limited) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats()
}

func (p *Limited) stats() Stats {
	return Stats{
		Limit:   p.limit,
		Idle:    p.idle,
		InUse:   p.inUse,
		Opening: p.opening,
		Probing: p.probing,
		Closing: p.closing,
		Waiting: p.waiters.Len(),
	}
}

func (p *Limited) total() int { return p.stats().Total() }

// member returns the state of the member at address, and creates it if there is none.
func (p *Limited) member(address string) *memberState {
	m, ok := p.members[address]
	if !ok {
		m = &memberState{address: address, workspaces: make(map[string]*workspaceCounts), usage: make(map[string]usage)}
		p.members[address] = m
	}
	return m
}

// suspectWindow bounds the age difference at which a silent connection makes others
// suspect: those that were opened up to this much later count as being of the same age,
// because a pool that fills up opens its connections within such a time.
const suspectWindow = time.Minute

// MarkSuspect implements Pool. Idle connections of that age are probed now and concurrently:
// otherwise each request that gets the next silent one costs a statement timeout. Those in
// use are probed on Release. Newer ones are not probed, because a member that is only slow
// must not lose all its connections to probes that time out.
func (p *Limited) MarkSuspect(address string, opened time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markSuspects(p.member(address), opened.Add(suspectWindow))
	p.dispatch()
}

// markSuspects marks all connections to m that were opened no later than newestOpened, so
// that they are probed before their next use. It runs with p.mu held.
func (p *Limited) markSuspects(m *memberState, newestOpened time.Time) {
	for _, pc := range p.conns {
		if pc.member == m && !pc.conn.Opened().After(newestOpened) {
			pc.suspect = true
		}
	}
	p.probeSuspects(m)
}

// ProbeIdle implements Pool. A network device that drops connection state rarely does so
// for one member only. If the connections to other members were not probed, requests
// would detect the silent ones member by member, and each such request would cost a
// statement timeout and hold a slot for as long.
func (p *Limited) ProbeIdle(cutoff time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		for _, pc := range m.idle {
			pc.suspect = pc.suspect || pc.idleSince.Before(cutoff)
		}
		p.probeSuspects(m)
	}
	p.dispatch()
}

// probeSuspects starts probes of the member's idle suspect connections.
func (p *Limited) probeSuspects(m *memberState) {
	for n := 0; n < len(m.idle); {
		if !m.idle[n].suspect {
			n++
			continue
		}
		p.idle--
		p.startProbe(m.removeIdleAt(n))
	}
}

// SetLeaving replaces the set of members that get no new work. Their idle connections are
// closed now, those in use when they are released.
func (p *Limited) SetLeaving(addresses []string) {
	leaving := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		leaving[a] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addresses {
		p.member(a)
	}
	for address, m := range p.members {
		m.leaving = leaving[address]
		if !m.leaving {
			continue
		}
		p.closeIdle(m, closedLeaving)
		p.refuseWaiters(m, everyWaiter, p.unreachableError(m))
	}
	p.dispatch()
}

// SetLimit changes the limit. Idle connections in excess are closed at once, those in use
// when they are released. WaitWithinLimit waits until the excess is closed.
func (p *Limited) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(n, 0)
	p.closeIdleOverLimit()
	p.dispatch()
}

// SetMemberLimit changes the limit of each member; zero means no limit. Idle connections in
// excess are closed at once, those in use when they are released.
func (p *Limited) SetMemberLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memberLimit = n
	for _, m := range p.members {
		for p.memberAtLimit(m, 1) && len(m.idle) > 0 {
			p.idle--
			p.startClose(m.popOldestIdle(), closedLimit)
		}
	}
	p.dispatch()
}

// memberAtLimit reports whether the member's connections exceed its limit by at least
// excess; with an excess of 0, whether it has reached its limit.
func (p *Limited) memberAtLimit(m *memberState, excess int) bool {
	return p.memberLimit > 0 && m.total()+m.replacing >= p.memberLimit+excess
}

// WaitWithinLimit waits until the number of counted connections is within the limit.
func (p *Limited) WaitWithinLimit(ctx context.Context) error {
	return p.countsChanged.Wait(ctx, &p.mu, func() bool { return p.total() <= p.limit })
}

// Close fails all waiters, closes idle connections, and waits until those in use were
// released and closed. When ctx ends first, it returns the error of ctx, and connections in
// use are still closed on release.
func (p *Limited) Close(ctx context.Context) error {
	p.mu.Lock()
	p.closed = true
	for _, w := range p.waiters.TakeWhere(p.waiters.Len(), everyWaiter) {
		w.granted <- grant{err: p.drainingError()}
	}
	for _, m := range p.members {
		p.closeIdle(m, closedShutdown)
	}
	p.mu.Unlock()
	err := p.countsChanged.Wait(ctx, &p.mu, func() bool { return p.total() == 0 })
	p.stop()
	return err
}
