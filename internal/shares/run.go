package shares

import (
	"context"
	"time"
)

// Run takes a share and keeps it until ctx ends. Call Close afterwards.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.done)
	refresh := m.cfg.Clock.NewTimer(0)
	sample := m.cfg.Clock.NewTimer(m.cfg.SampleInterval)
	defer refresh.Stop()
	defer sample.Stop()
	for {
		eraChanged := m.cfg.Platform.Eras().Changed()
		select {
		case <-ctx.Done():
			return
		case <-eraChanged:
			m.observeEra()
		case <-m.refreshRequested:
			refresh.Reset(m.refreshLedger(ctx))
		case <-refresh.C:
			refresh.Reset(m.refreshLedger(ctx))
		case q := <-m.loanRequests:
			q.reply <- m.handleLoanRequest(ctx, q.request)
		case <-sample.C:
			m.observeEra()
			m.sampleAndBorrow(ctx)
			sample.Reset(m.cfg.SampleInterval)
		}
		if m.changeFailed {
			m.changeFailed = false
			refresh.Reset(m.retryDelay())
		}
	}
}

// refreshLedger reads the ledger and makes the changes that it calls for. It returns
// the delay until the next refresh.
func (m *Manager) refreshLedger(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	if m.restoring != nil {
		return m.restoreShare(ctx)
	}
	l, _, err := m.store.read(ctx)
	if err != nil {
		m.recordCallFailure("platform", err)
		return m.retryDelay()
	}
	m.observeEra()
	if m.restoring != nil {
		return m.restoreShare(ctx)
	}
	m.adoptLedger(l)
	if !m.ensureShare(ctx) {
		m.acquireBackoff = min(max(2*m.acquireBackoff, maxRetryDelay), m.cfg.RefreshInterval)
		return m.acquireBackoff/2 + time.Duration(m.cfg.Rand.Int64N(int64(m.acquireBackoff/2)))
	}
	m.acquireBackoff = 0
	if !m.adjustToTarget(ctx) {
		return m.retryDelay()
	}
	return m.cfg.RefreshInterval/2 + time.Duration(m.cfg.Rand.Int64N(int64(m.cfg.RefreshInterval/2)))
}

// maxRetryDelay is the longest delay before a failed call to the platform is retried.
const maxRetryDelay = 2 * time.Second

// retryDelay returns a random delay between half of maxRetryDelay and all of it.
func (m *Manager) retryDelay() time.Duration {
	return maxRetryDelay/2 + time.Duration(m.cfg.Rand.Int64N(int64(maxRetryDelay/2)))
}
