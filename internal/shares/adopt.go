package shares

import (
	"context"
	"time"
)

// adopt makes the ledger's word on this instance's seat take effect. It is
// called only while no change of this instance is in doubt. An older version is
// as safe as the newest: only this instance lowers the size of its seat.
func (m *Manager) adopt(l Ledger) {
	m.ledger = l
	mine := l.seatOf(m.self)
	switch {
	case mine != nil && mine.Target.IsZero():
		m.apply(Amount{})
		m.announce(false)
	case mine != nil:
		if !mine.Size.Within(m.Limit()) {
			m.seekPause, m.seekAfter = 0, time.Time{}
		}
		m.apply(mine.Size)
		m.setSeated(true)
		m.announce(true)
	case m.Seated():
		// The seat was given to another while this process was gone from
		// everything for longer than AgeOut.
		m.log.Warn("Lost the seat, closing all connections.", "group", m.cfg.Group)
		m.apply(Amount{})
		m.announce(false)
	default:
		m.setSeated(false)
	}
}

// announce calls SeatChanged when there is something new to tell.
func (m *Manager) announce(seated bool) {
	if m.announced == seated {
		return
	}
	m.announced = seated
	m.cfg.SeatChanged(seated)
}

// apply bounds the resources.
func (m *Manager) apply(size Amount) {
	m.mu.Lock()
	m.size = size
	m.mu.Unlock()
	m.cfg.Connections.Set(max(size.Connections-m.cfg.Control, 0))
	m.cfg.Slots.Set(size.Slots)
	m.cfg.Metrics.size.WithLabelValues(m.cfg.Group, "connections").Set(float64(size.Connections))
	m.cfg.Metrics.size.WithLabelValues(m.cfg.Group, "slots").Set(float64(size.Slots))
}

// settle waits until no more than the applied size is in use.
func (m *Manager) settle(ctx context.Context) error {
	if err := m.cfg.Connections.Settle(ctx); err != nil {
		return err
	}
	return m.cfg.Slots.Settle(ctx)
}

// change updates the ledger, adopts the outcome, and counts it. An edit that has
// nothing to do in the ledger last seen costs no call.
func (m *Manager) change(ctx context.Context, kind string, edit func(*Ledger) bool) bool {
	if seen := m.ledger.clone(); !edit(&seen) {
		return false
	}
	l, stored, err := m.store.update(ctx, edit)
	if err != nil {
		m.failed("platform", err)
		m.doubtful = true
		if m.store.pending == nil {
			// Nothing was stored, so what was lowered for it may rise again.
			m.adopt(m.ledger)
		}
		return false
	}
	if stored {
		m.cfg.Metrics.changes.WithLabelValues(m.cfg.Group, kind).Inc()
		m.log.Debug("Changed the ledger.", "group", m.cfg.Group, "change", kind)
	}
	m.adopt(l)
	return stored
}

func (m *Manager) failed(callee string, err error) {
	m.cfg.Metrics.errors.WithLabelValues(m.cfg.Group, callee).Inc()
	m.log.Debug("A call failed.", "group", m.cfg.Group, "callee", callee, "error", err)
}
