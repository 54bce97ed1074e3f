package pool

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

// Acquire implements Pool.
func (p *Limited) Acquire(ctx context.Context, address, workspace string) (wire.Conn, error) {
	w := p.newWaiter(ctx, address, workspace)
	for {
		e, err := p.await(ctx, w)
		if err != nil {
			p.cfg.Metrics.refused.WithLabelValues(p.cfg.Group, err.Code.Label()).Inc()
			return nil, err
		}
		if p.usable(e) {
			return e.conn, nil
		}
	}
}

// newWaiter returns a waiter with the place of a caller who arrives now. It is
// not queued yet.
func (p *Limited) newWaiter(ctx context.Context, address, workspace string) *waiter {
	deadline := p.cfg.Clock.Now().Add(p.cfg.MaxWait)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals++
	return &waiter{
		address:   address,
		workspace: workspace,
		deadline:  deadline,
		arrival:   p.arrivals,
		granted:   make(chan grant, 1),
	}
}

// await queues w and waits for its grant.
func (p *Limited) await(ctx context.Context, w *waiter) (*entry, *result.Error) {
	if err := p.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case g := <-w.granted:
		return g.entry, g.err
	default:
	}
	timer := p.cfg.Clock.NewTimer(w.deadline.Sub(p.cfg.Clock.Now()))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g.entry, g.err
	case <-ctx.Done():
	case <-timer.C:
	}
	return p.giveUp(w)
}

// enqueue adds w unless its answer is known already.
func (p *Limited) enqueue(w *waiter) *result.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return p.draining()
	}
	m := p.member(w.address)
	if m.leaving {
		return p.unreachable(m)
	}
	if err := p.unservable(m, w); err != nil {
		return err
	}
	p.waiting.Add(w)
	p.dispatch()
	return nil
}

// unservable returns the error for a wait that nothing can end in time: no
// connection of the workspace exists and none will be opened before the deadline.
func (p *Limited) unservable(m *memberState, w *waiter) *result.Error {
	if l := m.lanes[w.workspace]; l != nil && l.counted() > 0 {
		return nil
	}
	if !p.cfg.Clock.Now().Before(m.pausedUntil) {
		return nil
	}
	if !m.refused {
		return p.unreachable(m)
	}
	if m.pausedUntil.Before(w.deadline) && !p.staysFull(m, w.workspace) {
		return nil
	}
	return p.full(m)
}

// staysFull reports whether a member has refused openings twice or more in a row and
// there is no connection of the workspace to it: it will be full for a while, as members
// are that still count the connections of machines that lost power, and others are to be
// asked.
func (p *Limited) staysFull(m *memberState, workspace string) bool {
	return m.refusesOpenings(p.cfg.MinPause) && !m.lane(workspace).connected()
}

// Full implements Pool.
func (p *Limited) Full(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member(address)
	return m.refusesOpenings(p.cfg.MinPause) && m.counted() == m.opening
}

// Idle implements Pool.
func (p *Limited) Idle(address, workspace string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.member(address).lanes[workspace]
	return l != nil && l.idle > 0
}

// FullFor implements Pool.
func (p *Limited) FullFor(address, workspace string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.staysFull(p.member(address), workspace)
}

// giveUp ends w's wait without a connection.
func (p *Limited) giveUp(w *waiter) (*entry, *result.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member(w.address)
	if !p.waiting.Remove(w) {
		g := <-w.granted
		if g.err != nil {
			return nil, g.err
		}
		p.takeBack(g.entry)
	}
	// Its place in the queue may have held back those behind it.
	p.dispatch()
	if m.pause > 0 && !m.refused {
		return nil, p.unreachable(m)
	}
	return nil, p.full(m)
}

// usable reports whether e can be handed out; otherwise it closes it. A member
// that restarted has closed its end of every idle connection: a statement sent
// on one would end as outcome unknown although it never ran.
func (p *Limited) usable(e *entry) bool {
	if p.cfg.Check == nil || p.cfg.Check(e.conn) == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaveUse(e)
	p.startClose(e, closedByMember)
	return false
}

// draining returns the error for a pool that is closed.
func (p *Limited) draining() *result.Error {
	return result.New(result.Draining, "group %s", p.cfg.Group)
}

// full returns the error for a share of connections that is in use, or for a
// member that takes no more.
func (p *Limited) full(m *memberState) *result.Error {
	return result.New(result.TooManyConnections, "group %s, member %s", p.cfg.Group, m.address).
		WithRetryAfter(p.retryAfter(m))
}

// unreachable returns the error for a member to which no connection opens.
func (p *Limited) unreachable(m *memberState) *result.Error {
	return result.New(result.UpstreamUnreachable, "group %s, member %s", p.cfg.Group, m.address).
		WithRetryAfter(p.retryAfter(m))
}

// retryAfter is the rest of the member's pause, and at least the shortest one.
func (p *Limited) retryAfter(m *memberState) time.Duration {
	return max(m.pausedUntil.Sub(p.cfg.Clock.Now()), p.cfg.MinPause)
}
