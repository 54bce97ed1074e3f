package pool

import "time"

// maxLostRetryAfter bounds the retry-after of requests for a member that is full of lost
// connections. Two tries at this distance fit into the usual time limit of an urgent request.
const maxLostRetryAfter = 400 * time.Millisecond

// Reasons for a refusal at a member that is full of lost connections, as metric labels.
const (
	reasonFullOnArrival = "on_arrival"
	reasonOpeningFailed = "opening_refused"
)

// SetLostUntil sets the time until which members may count connections of instances that have lost
// power; the zero time ends it. Until then, a member that refuses an opening as full, and to which
// the pool has no connection, is taken as full from the first refusal on.
func (p *Limited) SetLostUntil(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostUntil = until
	p.dispatch()
}

// AwaitsLostConnections reports whether members may still count connections of instances that have
// lost power.
func (p *Limited) AwaitsLostConnections() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.awaitsLost()
}

func (p *Limited) awaitsLost() bool {
	return !p.lostUntil.IsZero() && p.cfg.Clock.Now().Before(p.lostUntil)
}

// fullOfLost reports whether the member refuses openings because of lost connections and the pool
// has no connection to it that could serve a request or be replaced for one.
func (p *Limited) fullOfLost(m *memberState) bool {
	return m.reportedFull && m.total() == m.opening && p.awaitsLost()
}

// refuseWhileLost fails all waiters for a member that is full of lost connections. Each gets a
// retry-after of its own.
func (p *Limited) refuseWhileLost(m *memberState) {
	matches := func(w *waiter) bool { return w.address == m.address }
	for _, w := range p.waiters.TakeWhere(p.waiters.Len(), matches) {
		p.cfg.Metrics.lostRefusals.WithLabelValues(p.cfg.Group, reasonOpeningFailed).Inc()
		w.granted <- grant{err: p.tooManyConnectionsError(m)}
	}
}

// spreadRetryAfter returns a random time until lost connections are gone, so that callers who were
// refused together do not return together.
func (p *Limited) spreadRetryAfter() time.Duration {
	spread := min(p.lostUntil.Sub(p.cfg.Clock.Now()), maxLostRetryAfter)
	return p.cfg.MinBackoff + time.Duration(p.cfg.Rand.Int64N(int64(max(spread, 1))))
}
