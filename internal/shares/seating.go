package shares

import (
	"context"
)

// seat sees to it that the ledger is laid out and that this instance has a
// seat. It returns false when there is reason to come back soon.
func (m *Manager) seat(ctx context.Context) bool {
	if m.allocated().Document > m.ledger.Document {
		m.change(ctx, changeLayout, m.layOut)
	}
	m.change(ctx, changeSweep, m.sweep)
	mine := m.ledger.seatOf(m.self)
	switch {
	case mine == nil && m.Seated():
		return m.retire(ctx)
	case mine != nil && mine.Target.IsZero():
		return m.leave(ctx)
	case mine != nil && mine.Mark != nil:
		m.change(ctx, changeContest, m.contest)
	}
	if mine != nil && (mine.FailureDomain != "" || m.store.pending != nil) {
		return true
	}
	if mine == nil {
		m.setClaiming()
	}
	if !m.change(ctx, changeTake, m.takeFree) && !m.doubtful {
		m.succeed(ctx)
	}
	if m.ledger.seatOf(m.self) != nil {
		return true
	}
	if !m.doubtful {
		m.setSeated(false)
	}
	return false
}

// sweep frees the seats of earlier holders at this instance's address.
func (m *Manager) sweep(l *Ledger) bool {
	swept := false
	for i := range l.Seats {
		if s := &l.Seats[i]; s.Holder.precedes(m.self) {
			s.give(nil)
			swept = true
		}
	}
	return swept
}

// contest removes the mark on this instance's seat.
func (m *Manager) contest(l *Ledger) bool {
	s := l.seatOf(m.self)
	if s == nil || s.Mark == nil {
		return false
	}
	s.Mark = nil
	return true
}

// layOut applies the allocation of the service document to the ledger. Only a
// newer document counts, so an instance that still has an old one changes nothing.
func (m *Manager) layOut(l *Ledger) bool {
	a := m.allocated()
	if a.Document <= l.Document {
		return false
	}
	if err := l.relayout(a, m.cfg.Control, m.cfg.ReserveSeats); err != nil {
		m.log.Error("Cannot divide the total.", "group", m.cfg.Group, "error", err)
		return false
	}
	return true
}

// retire closes what is left of a lost seat before another one is taken.
func (m *Manager) retire(ctx context.Context) bool {
	if m.settle(ctx) != nil {
		return false
	}
	m.setSeated(false)
	m.notify()
	return false
}

// leave gives up a seat that the service document has no place for any more.
// What it has left may be too small for the control connections.
func (m *Manager) leave(ctx context.Context) bool {
	if m.settle(ctx) == nil {
		m.setSeated(false)
		if err := m.vacate(ctx); err != nil {
			m.failed("platform", err)
		}
	}
	return false
}

// takeFree takes the free seat of the failure domain, or else a reserve seat.
// From a reserve seat it moves to the domain's seat.
func (m *Manager) takeFree(l *Ledger) bool {
	mine := l.seatOf(m.self)
	for i := range l.Seats {
		s := &l.Seats[i]
		if s.free() && s.FailureDomain == m.self.FailureDomain && !s.Target.IsZero() {
			return m.moveTo(l, mine, s)
		}
	}
	if mine != nil {
		return false
	}
	for i := range l.Seats {
		s := &l.Seats[i]
		if s.free() && s.FailureDomain == "" {
			return m.moveTo(l, nil, s)
		}
	}
	return false
}

// moveTo takes a seat, and frees the one held before in the same update. The
// new seat is made no smaller than the old one, whose connections stay open.
func (m *Manager) moveTo(l *Ledger, from, to *Seat) bool {
	if from != nil {
		left := from.Size.Min(from.Target)
		if !left.Within(to.Size) {
			return false
		}
		to.Size = to.Size.Plus(from.Size.Minus(left))
		from.Size = left
		from.give(nil)
	}
	self := m.self
	to.give(&self)
	return true
}
