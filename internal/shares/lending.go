package shares

import (
	"context"
)

// loan is a borrower's call on its way to the goroutine of Run.
type loan struct {
	request BorrowRequest
	reply   chan BorrowReply
}

// lend hands a borrower's call to the goroutine of Run.
func (m *Manager) lend(ctx context.Context, q BorrowRequest) (BorrowReply, error) {
	l := loan{request: q, reply: make(chan BorrowReply, 1)}
	select {
	case m.loans <- l:
	case <-m.done:
		return BorrowReply{}, nil
	case <-ctx.Done():
		return BorrowReply{}, ctx.Err()
	}
	select {
	case r := <-l.reply:
		return r, nil
	case <-ctx.Done():
		return BorrowReply{}, ctx.Err()
	}
}

// decide lends what is idle. The connections are closed before the ledger says
// so, and the ledger says so before the borrower hears of it. When the
// platform's answer is lost, this instance stays at the lower size until a
// later version of the ledger has shown what happened.
func (m *Manager) decide(ctx context.Context, q BorrowRequest) BorrowReply {
	mine, theirs := m.ledger.seatOf(m.self), m.ledger.seatOf(q.Borrower)
	if mine == nil || theirs == nil {
		m.notify()
		return m.refuse(refusedSeat)
	}
	part := m.idle(mine).Min(q.Want)
	if part.IsZero() {
		m.turnedAway[q.Borrower.Address] = struct{}{}
		return m.refuse(refusedIdle)
	}
	before := mine.Size
	if !m.lower(ctx, before.Minus(part)) {
		m.apply(before)
		return m.refuse(refusedSettle)
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	lent := m.change(ctx, changeLend, func(l *Ledger) bool {
		mine, theirs := l.seatOf(m.self), l.seatOf(q.Borrower)
		if mine == nil || theirs == nil || mine.Size != before {
			return false
		}
		mine.Size = mine.Size.Minus(part)
		theirs.Size = theirs.Size.Plus(part)
		return true
	})
	if !lent {
		return BorrowReply{}
	}
	return BorrowReply{Lent: part}
}

func (m *Manager) refuse(reason string) BorrowReply {
	m.cfg.Metrics.refused.WithLabelValues(m.cfg.Group, reason).Inc()
	return BorrowReply{}
}

// lower bounds the resources and reports whether they fit in time.
func (m *Manager) lower(ctx context.Context, size Amount) bool {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.LendTimeout)
	defer cancel()
	m.apply(size)
	return m.settle(ctx) == nil
}

// needed is what this instance used at most lately, with one connection to
// spare, and at least one slot.
func (m *Manager) needed() Amount {
	return Amount{m.cfg.Control + m.connections.peak() + 1, max(m.slots.peak(), 1)}
}

// idle is what could be lent: all above the floor that is not needed.
func (m *Manager) idle(s *Seat) Amount { return s.Size.Over(s.Floor.Max(m.needed())) }
