package shares

import (
	"context"
)

// ensureShare applies a newer allocation to the ledger and makes sure that this
// instance holds a share. It returns false if it should be called again soon.
func (m *Manager) ensureShare(ctx context.Context) bool {
	if m.currentAllocation().DocumentVersion > m.ledger.DocumentVersion {
		m.changeLedger(ctx, changeApplyAllocation, m.applyNewerAllocation)
	}
	m.changeLedger(ctx, changeFreeEarlierHolder, m.freeEarlierHolders)
	mine := m.ledger.shareOf(m.self)
	switch {
	case mine == nil && m.HoldsShare():
		return m.closeLostShare(ctx)
	case mine != nil && mine.Target.IsZero():
		return m.releaseRemovedShare(ctx)
	case mine != nil && mine.Mark != nil:
		m.changeLedger(ctx, changeRemoveMark, m.removeMark)
	}
	if mine != nil && (mine.FailureDomain != "" || m.store.pending != nil) {
		return true
	}
	if mine == nil {
		m.setClaiming()
	}
	if !m.changeLedger(ctx, changeTake, m.takeFreeShare) && !m.changeFailed {
		m.takeOverVanished(ctx)
	}
	if m.ledger.shareOf(m.self) != nil {
		return true
	}
	if !m.changeFailed {
		m.setShareHeld(false)
	}
	return false
}

// freeEarlierHolders frees the shares of earlier holders at this instance's address.
func (m *Manager) freeEarlierHolders(l *Ledger) bool {
	freed := false
	for i := range l.Shares {
		if s := &l.Shares[i]; s.Holder.precedes(m.self) {
			s.setHolder(nil)
			freed = true
		}
	}
	return freed
}

// removeMark removes the suspect mark on this instance's share.
func (m *Manager) removeMark(l *Ledger) bool {
	s := l.shareOf(m.self)
	if s == nil || s.Mark == nil {
		return false
	}
	s.Mark = nil
	return true
}

// applyNewerAllocation applies the allocation of the service document to the ledger. An
// instance whose document is no newer than the ledger's changes nothing.
func (m *Manager) applyNewerAllocation(l *Ledger) bool {
	a := m.currentAllocation()
	if a.DocumentVersion <= l.DocumentVersion {
		return false
	}
	if err := l.applyAllocation(a, m.cfg.ControlConnections, m.cfg.ReserveShares); err != nil {
		m.log.Error("Cannot divide the total into shares.", "group", m.cfg.Group, "error", err)
		return false
	}
	return true
}

// closeLostShare waits until the connections of a lost share are closed, so that
// another share may be taken.
func (m *Manager) closeLostShare(ctx context.Context) bool {
	if m.waitWithinLimits(ctx) != nil {
		return false
	}
	m.setShareHeld(false)
	m.requestRefresh()
	return false
}

// releaseRemovedShare releases a share that the service document no longer provides for.
// It cannot keep the share, whose remaining size may be too small for the control
// connections.
func (m *Manager) releaseRemovedShare(ctx context.Context) bool {
	if m.waitWithinLimits(ctx) == nil {
		m.setShareHeld(false)
		if err := m.releaseShare(ctx); err != nil {
			m.recordCallFailure("platform", err)
		}
	}
	return false
}

// takeFreeShare takes the failure domain's share if it is free, also when this instance
// already has a reserve share. An instance without a share otherwise takes a free reserve
// share.
func (m *Manager) takeFreeShare(l *Ledger) bool {
	mine := l.shareOf(m.self)
	for i := range l.Shares {
		s := &l.Shares[i]
		if s.isFree() && s.FailureDomain == m.self.FailureDomain && !s.Target.IsZero() {
			return m.moveToShare(l, mine, s)
		}
	}
	if mine != nil {
		return false
	}
	for i := range l.Shares {
		s := &l.Shares[i]
		if s.isFree() && s.FailureDomain == "" {
			return m.moveToShare(l, nil, s)
		}
	}
	return false
}

// moveToShare takes a share and frees the previous one in the same update. The new
// share becomes no smaller than the previous one, whose connections stay open.
func (m *Manager) moveToShare(l *Ledger, from, to *Share) bool {
	if from != nil {
		remaining := from.Size.Min(from.Target)
		if !remaining.Within(to.Size) {
			return false
		}
		to.Size = to.Size.Plus(from.Size.Minus(remaining))
		from.Size = remaining
		from.setHolder(nil)
	}
	self := m.self
	to.setHolder(&self)
	return true
}
