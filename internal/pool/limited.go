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
	// background ends when the pool is closed for good; it bounds what runs in
	// the pool's own goroutines.
	background context.Context
	stop       context.CancelFunc
	gauges     gauges

	mu    sync.Mutex
	limit int
	// memberLimit bounds the connections to each member; zero means no bound.
	memberLimit int
	entries     map[wire.Conn]*entry
	members     map[string]*memberState
	waiting     waitlist.List[*waiter]
	arrivals    uint64
	inUse       int
	opening     int
	probing     int
	// closing counts closings whose end the member has not confirmed yet and
	// failed openings that the member may still see.
	closing int
	idle    int
	closed  bool
	// changed is notified whenever a connection stops counting.
	changed *waitlist.Signal
}

var _ Pool = (*Limited)(nil)

// New returns a Limited that holds no connection yet.
func New(cfg Config) *Limited {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	p := &Limited{
		cfg:        cfg,
		log:        cfg.Logger.Named("pool"),
		background: ctx,
		stop:       stop,
		gauges:     cfg.Metrics.gauges(cfg.Group),
		limit:      cfg.Limit,
		entries:    make(map[wire.Conn]*entry),
		members:    make(map[string]*memberState),
		changed:    waitlist.NewSignal(),
		waiting:    waitlist.New((*waiter).before),
	}
	if cfg.TrimInterval > 0 {
		go p.trim(cfg.TrimInterval)
	}
	return p
}

// Stats returns the present counts.
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
		Waiting: p.waiting.Len(),
	}
}

func (p *Limited) total() int { return p.stats().Total() }

// member returns the state kept for an address.
func (p *Limited) member(address string) *memberState {
	m, ok := p.members[address]
	if !ok {
		m = &memberState{address: address, lanes: make(map[string]*lane)}
		p.members[address] = m
	}
	return m
}

// suspectWindow is how much later than the silent connection another one may
// have been opened and still be taken for one of its age: a pool that fills up
// opens its connections within such a time.
const suspectWindow = time.Minute

// Suspect implements Pool. Idle connections of that age are probed now, side by
// side: otherwise each request that meets the next silent one pays a statement
// timeout. Those in use are probed on Release. Newer ones are left alone, because
// a member that is only slow must not lose all its connections to late probes.
func (p *Limited) Suspect(address string, opened time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect(p.member(address), opened.Add(suspectWindow))
	p.dispatch()
}

// suspect has all connections to m that are no younger than newest probed
// before their next use. It runs under the lock.
func (p *Limited) suspect(m *memberState, newest time.Time) {
	for _, e := range p.entries {
		if e.member == m && !e.conn.Opened().After(newest) {
			e.suspect = true
		}
	}
	p.probeSuspects(m)
}

// ProbeIdle implements Pool. What loses track of connections rarely loses those
// to one member only. Were the others left alone, requests would find the
// silence out member by member, each at the price of a statement timeout and of
// a slot held for so long.
func (p *Limited) ProbeIdle(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		for _, e := range m.idle {
			e.suspect = e.suspect || e.heardAt.Before(since)
		}
		p.probeSuspects(m)
	}
	p.dispatch()
}

// probeSuspects begins the probes of a member's idle connections in doubt.
func (p *Limited) probeSuspects(m *memberState) {
	for n := 0; n < len(m.idle); {
		if !m.idle[n].suspect {
			n++
			continue
		}
		p.idle--
		p.startProbe(m.takeAt(n))
	}
}

// SetLeaving replaces the set of members that get no new work. Their idle
// connections are closed now, the others when they are released.
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
		p.refuseWaiters(m, everyWaiter, p.unreachable(m))
	}
	p.dispatch()
}

// SetLimit changes the limit. Idle connections past it are closed at once,
// those in use when they are released; Settle tells when that is done.
func (p *Limited) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(n, 0)
	p.shrink()
	p.dispatch()
}

// SetMemberLimit changes the limit of each member. Idle connections past it are
// closed at once, those in use when they are released.
func (p *Limited) SetMemberLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memberLimit = n
	for _, m := range p.members {
		for p.memberFull(m, 1) && len(m.idle) > 0 {
			p.idle--
			p.startClose(m.takeOldest(), closedLimit)
		}
	}
	p.dispatch()
}

// memberFull reports whether a member has its limit of connections, or more than
// that by over.
func (p *Limited) memberFull(m *memberState, over int) bool {
	return p.memberLimit > 0 && m.counted()+m.replacing >= p.memberLimit+over
}

// Settle waits until no more connections count than the limit allows.
func (p *Limited) Settle(ctx context.Context) error {
	return p.changed.Wait(ctx, &p.mu, func() bool { return p.total() <= p.limit })
}

// Close refuses all that wait, closes idle connections, and waits until those
// in use were released and closed. When ctx ends first, it returns its error
// and the rest is closed as it is released.
func (p *Limited) Close(ctx context.Context) error {
	p.mu.Lock()
	p.closed = true
	for _, w := range p.waiting.TakeWhere(p.waiting.Len(), everyWaiter) {
		w.granted <- grant{err: p.draining()}
	}
	for _, m := range p.members {
		p.closeIdle(m, closedShutdown)
	}
	p.mu.Unlock()
	err := p.changed.Wait(ctx, &p.mu, func() bool { return p.total() == 0 })
	p.stop()
	return err
}
