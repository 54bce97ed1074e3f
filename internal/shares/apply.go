package shares

import (
	"context"
	"time"
)

// adoptLedger sets the limits to the size that the ledger gives this instance's share. It
// must be called only while no change by this instance is unconfirmed. An older version
// of the ledger is as safe as the newest one, because only this instance lowers the size
// of its share.
func (m *Manager) adoptLedger(l Ledger) {
	m.ledger = l
	mine := l.shareOf(m.self)
	switch {
	case mine != nil && mine.Target.IsZero():
		m.applyLimits(Amount{})
		m.announceHeld(false)
	case mine != nil:
		if !mine.Size.Within(m.Limit()) {
			m.borrowBackoff, m.nextBorrowAt = 0, time.Time{}
		}
		m.applyLimits(mine.Size)
		m.setShareHeld(true)
		m.announceHeld(true)
	case m.HoldsShare():
		// Another instance took the share after this process had been unreachable for
		// longer than HolderExpiry.
		m.log.Warn("Lost the share, closing all connections.", "group", m.cfg.Group)
		m.applyLimits(Amount{})
		m.announceHeld(false)
	default:
		m.setShareHeld(false)
	}
}

// announceHeld calls OnHeldChanged if the value differs from the last call's.
func (m *Manager) announceHeld(held bool) {
	if m.announcedHeld == held {
		return
	}
	m.announcedHeld = held
	m.cfg.OnHeldChanged(held)
}

// applyLimits sets the limits of the resources.
func (m *Manager) applyLimits(size Amount) {
	m.mu.Lock()
	m.limit = size
	m.mu.Unlock()
	m.cfg.Connections.Set(max(size.Connections-m.cfg.ControlConnections, 0))
	m.cfg.Slots.Set(size.Slots)
	m.cfg.Metrics.size.WithLabelValues(m.cfg.Group, "connections").Set(float64(size.Connections))
	m.cfg.Metrics.size.WithLabelValues(m.cfg.Group, "slots").Set(float64(size.Slots))
}

// waitWithinLimits waits until usage is within the applied limits.
func (m *Manager) waitWithinLimits(ctx context.Context) error {
	if err := m.cfg.Connections.WaitWithinLimit(ctx); err != nil {
		return err
	}
	return m.cfg.Slots.WaitWithinLimit(ctx)
}

// changeLedger updates the ledger, adopts the result, and counts the change. It reports
// whether the change was stored. It calls the platform only if edit would change the
// ledger as last read.
func (m *Manager) changeLedger(ctx context.Context, kind string, edit func(*Ledger) bool) bool {
	if preview := m.ledger.clone(); !edit(&preview) {
		return false
	}
	l, stored, err := m.store.update(ctx, edit)
	if err != nil {
		m.recordCallFailure("platform", err)
		m.changeFailed = true
		if m.store.pending == nil {
			// Nothing was stored, so limits that were lowered for this change are
			// restored.
			m.adoptLedger(m.ledger)
		}
		return false
	}
	if stored {
		m.cfg.Metrics.changes.WithLabelValues(m.cfg.Group, kind).Inc()
		m.log.Debug("Changed the ledger.", "group", m.cfg.Group, "change", kind)
	}
	m.adoptLedger(l)
	return stored
}

func (m *Manager) recordCallFailure(callee string, err error) {
	m.cfg.Metrics.errors.WithLabelValues(m.cfg.Group, callee).Inc()
	m.log.Debug("A call failed.", "group", m.cfg.Group, "callee", callee, "error", err)
}
