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
		pc, err := p.waitForGrant(ctx, w)
		if err != nil {
			p.cfg.Metrics.refusals.WithLabelValues(p.cfg.Group, err.Code.Label()).Inc()
			return nil, err
		}
		if p.validateConn(pc) {
			return pc.conn, nil
		}
	}
}

// newWaiter returns a waiter that is not queued yet. Among waiters with the same
// deadline, its arrival number orders it after those of all earlier calls.
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

// waitForGrant queues w and waits for its grant.
func (p *Limited) waitForGrant(ctx context.Context, w *waiter) (*pooledConn, *result.Error) {
	if err := p.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case g := <-w.granted:
		return g.conn, g.err
	default:
	}
	timer := p.cfg.Clock.NewTimer(w.deadline.Sub(p.cfg.Clock.Now()))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g.conn, g.err
	case <-ctx.Done():
	case <-timer.C:
	}
	return p.abandonWait(ctx, w)
}

// enqueue adds w to the queue, or returns an error when the request cannot be served.
func (p *Limited) enqueue(w *waiter) *result.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return p.drainingError()
	}
	m := p.member(w.address)
	if m.leaving {
		return p.unreachableError(m)
	}
	if err := p.checkServable(m, w); err != nil {
		return err
	}
	p.waiters.Add(w)
	p.dispatch()
	return nil
}

// checkServable returns an error when w must fail at once. This requires that no
// connection of the workspace exists and that the member is in backoff. A member that
// could not be reached then fails w in any case; a full one does so if the backoff does
// not end before w's deadline or if it has refused at least two openings in a row.
func (p *Limited) checkServable(m *memberState, w *waiter) *result.Error {
	if counts := m.workspaces[w.workspace]; counts != nil && counts.total() > 0 {
		return nil
	}
	if !p.cfg.Clock.Now().Before(m.backoffUntil) {
		return nil
	}
	if !m.reportedFull {
		return p.unreachableError(m)
	}
	if p.fullOfLost(m) {
		p.cfg.Metrics.lostRefusals.WithLabelValues(p.cfg.Group, reasonFullOnArrival).Inc()
		return p.tooManyConnectionsError(m)
	}
	if m.backoffUntil.Before(w.deadline) && !p.isFullFor(m, w.workspace) {
		return nil
	}
	return p.tooManyConnectionsError(m)
}

// isFullFor reports whether the member has refused at least two openings in a row and has
// no connection of the workspace. Such a member is likely to stay full for a while, for
// instance because it still counts the connections of instances that lost power, so
// requests should go to other members.
func (p *Limited) isFullFor(m *memberState, workspace string) bool {
	if p.fullOfLost(m) {
		return true
	}
	return m.repeatedlyFull(p.cfg.MinBackoff) && !m.countsFor(workspace).hasEstablished()
}

// IsFull implements Pool.
func (p *Limited) IsFull(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member(address)
	return p.fullOfLost(m) || m.repeatedlyFull(p.cfg.MinBackoff) && m.total() == m.opening
}

// HasIdle implements Pool.
func (p *Limited) HasIdle(address, workspace string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.member(address).workspaces[workspace]
	return counts != nil && counts.idle > 0
}

// FullForWorkspace implements Pool.
func (p *Limited) FullForWorkspace(address, workspace string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isFullFor(p.member(address), workspace)
}

// abandonWait ends w's wait at its deadline or when its context is done. A connection that
// was granted in the meantime goes back to the pool.
func (p *Limited) abandonWait(ctx context.Context, w *waiter) (*pooledConn, *result.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member(w.address)
	if !p.waiters.Remove(w) {
		g := <-w.granted
		if g.err != nil {
			return nil, g.err
		}
		p.returnConn(g.conn)
	}
	// An opening or closing that was assigned to w can now be assigned to a later waiter.
	p.dispatch()
	if cause, ok := result.FromCause(ctx); ok {
		// The member is not the reason.
		return nil, cause
	}
	if m.backoff > 0 && !m.reportedFull {
		return nil, p.unreachableError(m)
	}
	return nil, p.tooManyConnectionsError(m)
}

// validateConn reports whether the connection can be handed out, and closes it otherwise. A
// member that restarted has closed its end of every idle connection: a statement sent on
// one would end as outcome unknown although it never ran.
func (p *Limited) validateConn(pc *pooledConn) bool {
	if p.cfg.Check == nil || p.cfg.Check(pc.conn) == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeInUse(pc)
	p.startClose(pc, closedByMember)
	return false
}

// drainingError returns the error for a pool that is closed.
func (p *Limited) drainingError() *result.Error {
	return result.New(result.Draining, "group %s", p.cfg.Group)
}

// tooManyConnectionsError returns the error for a request that got none of the share's
// connections in time, or for a member that accepts no more.
func (p *Limited) tooManyConnectionsError(m *memberState) *result.Error {
	return result.New(result.TooManyConnections, "group %s, member %s", p.cfg.Group, m.address).
		WithRetryAfter(p.retryAfter(m))
}

// unreachableError returns the error for a member to which no connection can be opened.
func (p *Limited) unreachableError(m *memberState) *result.Error {
	return result.New(result.UpstreamUnreachable, "group %s, member %s", p.cfg.Group, m.address).
		WithRetryAfter(p.retryAfter(m))
}

// retryAfter returns the rest of the member's backoff, and at least the shortest backoff. For a
// member that is full of lost connections it is spread over the time until they are gone.
func (p *Limited) retryAfter(m *memberState) time.Duration {
	if p.fullOfLost(m) {
		return p.spreadRetryAfter()
	}
	return max(m.backoffUntil.Sub(p.cfg.Clock.Now()), p.cfg.MinBackoff)
}
