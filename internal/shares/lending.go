package shares

import (
	"context"
)

// loanRequest is a borrower's call that the goroutine of Run handles.
type loanRequest struct {
	request BorrowRequest
	reply   chan BorrowReply
}

// submitLoanRequest passes a borrower's call to the goroutine of Run and waits for the
// reply.
func (m *Manager) submitLoanRequest(ctx context.Context, q BorrowRequest) (BorrowReply, error) {
	l := loanRequest{request: q, reply: make(chan BorrowReply, 1)}
	select {
	case m.loanRequests <- l:
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

// handleLoanRequest lends idle capacity. The connections are closed before the ledger
// is changed, and the ledger is changed before the borrower gets the answer. If the
// platform's answer is lost, this instance keeps the lower limits until a later version
// of the ledger shows the outcome.
func (m *Manager) handleLoanRequest(ctx context.Context, q BorrowRequest) BorrowReply {
	mine, borrower := m.ledger.shareOf(m.self), m.ledger.shareOf(q.Borrower)
	if mine == nil || borrower == nil || m.restoring != nil {
		m.requestRefresh()
		return m.refuseLoan(refusedNoShare)
	}
	part := m.idleCapacity(mine).Min(q.Want)
	if part.IsZero() {
		m.refusedBorrowers[q.Borrower.Address] = struct{}{}
		return m.refuseLoan(refusedIdle)
	}
	before := mine.Size
	if !m.lowerLimits(ctx, before.Minus(part)) {
		m.applyLimits(before)
		return m.refuseLoan(refusedNotClosed)
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	lent := m.changeLedger(ctx, changeLend, func(l *Ledger) bool {
		mine, borrower := l.shareOf(m.self), l.shareOf(q.Borrower)
		if mine == nil || borrower == nil || mine.Size != before {
			return false
		}
		mine.Size = mine.Size.Minus(part)
		borrower.Size = borrower.Size.Plus(part)
		return true
	})
	if !lent {
		return BorrowReply{}
	}
	return BorrowReply{Lent: part}
}

func (m *Manager) refuseLoan(reason string) BorrowReply {
	m.cfg.Metrics.refused.WithLabelValues(m.cfg.Group, reason).Inc()
	return BorrowReply{}
}

// lowerLimits lowers the limits and reports whether usage falls within them before
// LendTimeout.
func (m *Manager) lowerLimits(ctx context.Context, size Amount) bool {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.LendTimeout)
	defer cancel()
	m.applyLimits(size)
	return m.waitWithinLimits(ctx) == nil
}

// recentNeed returns this instance's recent peak usage plus one spare connection, with
// at least one slot.
func (m *Manager) recentNeed() Amount {
	return Amount{m.cfg.ControlConnections + m.connectionUsage.peak() + 1, max(m.slotUsage.peak(), 1)}
}

// idleCapacity returns what could be lent: the part of the share above both its floor
// and the recent need.
func (m *Manager) idleCapacity(s *Share) Amount {
	return s.Size.ExcessOver(s.Floor.Max(m.recentNeed()))
}
