package shares

import (
	"context"
	"time"
)

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
