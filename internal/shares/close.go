package shares

import (
	"context"

	"github.com/topazrock/topazrock/internal/clock"
)

// Close gives the seat up. Run must have ended or be ending. It first waits
// until nothing is in use, so drain the group before; when ctx ends earlier,
// the seat stays taken and is found again by proof or by age.
func (m *Manager) Close(ctx context.Context) error {
	select {
	case <-m.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	m.apply(Amount{})
	m.announce(false)
	if err := m.settle(ctx); err != nil {
		return err
	}
	m.setSeated(false)
	for {
		err := m.vacate(ctx)
		if err == nil {
			return nil
		}
		if clock.Sleep(ctx, m.cfg.Clock, settlePause) != nil {
			return err
		}
	}
}

// vacate writes that the seat is free. What the seat has above its target goes
// to seats that are below theirs.
func (m *Manager) vacate(ctx context.Context) error {
	l, stored, err := m.store.update(ctx, func(l *Ledger) bool {
		s := l.seatOf(m.self)
		if s == nil {
			return false
		}
		s.give(nil)
		extra := s.Size.Over(s.Target)
		s.Size = s.Size.Minus(extra).Plus(l.giveBack(s.Name, extra))
		return true
	})
	if stored {
		m.cfg.Metrics.changes.WithLabelValues(m.cfg.Group, changeVacate).Inc()
		m.tell(ctx, l.others(m.self))
	}
	return err
}
