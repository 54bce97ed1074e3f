package shares

import (
	"context"

	"github.com/topazrock/topazrock/internal/clock"
)

// Close releases the share. Run must have returned or its ctx must have ended. Close
// first waits until nothing is in use, so the group should be drained before. If ctx
// ends earlier, the share stays taken until another instance proves that this process
// has ended or HolderExpiry passes.
func (m *Manager) Close(ctx context.Context) error {
	select {
	case <-m.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	m.applyLimits(Amount{})
	m.announceHeld(false)
	if err := m.waitWithinLimits(ctx); err != nil {
		return err
	}
	m.setShareHeld(false)
	for {
		// Releasing is right in every era: this Manager uses nothing.
		m.store.era = m.cfg.Platform.Eras().Latest()
		err := m.releaseShare(ctx)
		if err == nil {
			return nil
		}
		if clock.Sleep(ctx, m.cfg.Clock, resolvePause) != nil {
			return err
		}
	}
}

// releaseShare frees the share in the ledger and gives what exceeds its target to
// shares below theirs.
func (m *Manager) releaseShare(ctx context.Context) error {
	l, stored, err := m.store.update(ctx, func(l *Ledger) bool {
		s := l.shareOf(m.self)
		if s == nil {
			return false
		}
		s.setHolder(nil)
		excess := s.Size.ExcessOver(s.Target)
		s.Size = s.Size.Minus(excess).Plus(l.fillToTargets(s.Name, excess))
		return true
	})
	if stored {
		m.cfg.Metrics.changes.WithLabelValues(m.cfg.Group, changeRelease).Inc()
		m.notifyHolders(ctx, l.otherHolderAddresses(m.self))
	}
	return err
}
