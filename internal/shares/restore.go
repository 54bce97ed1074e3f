package shares

import (
	"context"
	"time"
)

// When the platform's store returns from an older copy, its ledger lacks the latest loans and
// changes of holders. What instances may use is then not what the ledger says, but what it said to
// them before: those sizes summed to no more than the total. Each holder keeps its size and writes
// it again, first what it has lent, which makes room for what others have borrowed.
const (
	// restoreGrace is how long after a return a holder keeps a size that the ledger does not have,
	// and takeGrace how long nothing is taken, lent or raised. The difference is the time for a
	// holder that gives up to close its connections.
	restoreGrace = 5 * time.Second
	takeGrace    = 10 * time.Second
	// restoreSpread is the time over which the holders begin to write their sizes again, and
	// restoreInterval the longest time between two attempts.
	restoreSpread   = time.Second
	restoreInterval = 500 * time.Millisecond
)

// restoration is the state of a Manager from a return of the platform's store until its share is
// as the ledger says.
type restoration struct {
	// share is the share as it was before the return; nil if this Manager had none.
	share *Share
	// beginsAt is when the Manager first reads the ledger.
	beginsAt time.Time
	// keptUntil is when the Manager gives up what the ledger does not have, and idleUntil when it
	// changes more than its own share again.
	keptUntil, idleUntil time.Time
}

// observeEra begins a restoration if the platform's store has returned from a copy since the last
// call, or shortly before the first one.
func (m *Manager) observeEra() {
	eras := m.cfg.Platform.Eras()
	latest, returnedAt := eras.Latest(), eras.ReturnedAt()
	if latest == m.store.era {
		return
	}
	first := m.store.era == 0
	m.store.era = latest
	if returnedAt.IsZero() || first && !m.cfg.Clock.Now().Before(returnedAt.Add(takeGrace)) {
		return
	}
	begin := m.cfg.Clock.Now().Add(time.Duration(m.cfg.Rand.Int64N(int64(restoreSpread))))
	r := &restoration{beginsAt: begin, keptUntil: returnedAt.Add(restoreGrace), idleUntil: returnedAt.Add(takeGrace)}
	if mine := m.ledger.shareOf(m.self); mine != nil && m.HoldsShare() {
		kept := *mine
		// A loan whose outcome is unknown has lowered the limit already.
		kept.Size = kept.Size.Min(m.Limit())
		r.share = &kept
	}
	m.restoring = r
	m.requestRefresh()
	m.log.Warn("The platform's store is back from an older copy; the share is written again.", "group", m.cfg.Group, "era", latest, "held", r.share != nil)
}

// restoreShare makes the ledger agree with what this instance may use, and returns the delay until
// the next refresh.
func (m *Manager) restoreShare(ctx context.Context) time.Duration {
	if wait := m.restoring.beginsAt.Sub(m.cfg.Clock.Now()); wait > 0 {
		return wait
	}
	l, stored, err := m.store.update(ctx, m.applyRestoration)
	if err != nil {
		m.recordCallFailure("platform", err)
		return m.restoreDelay()
	}
	if stored {
		m.cfg.Metrics.changes.WithLabelValues(m.cfg.Group, changeRestore).Inc()
	}
	now := m.cfg.Clock.Now()
	if m.isRestored(&l) {
		m.adoptLedger(l)
	} else if now.Before(m.restoring.keptUntil) {
		return m.restoreDelay()
	} else {
		m.giveUpExcess(ctx, l)
	}
	if wait := m.restoring.idleUntil.Sub(now); wait > 0 {
		return wait
	}
	m.restoring = nil
	return 0
}

func (m *Manager) restoreDelay() time.Duration {
	return restoreInterval/2 + time.Duration(m.cfg.Rand.Int64N(int64(restoreInterval/2)))
}

// applyRestoration frees the shares that the ledger wrongly says are this Manager's, and restores
// the one that is.
func (m *Manager) applyRestoration(l *Ledger) bool {
	lost := m.restoring.share
	changed := false
	for i := range l.Shares {
		s := &l.Shares[i]
		if s.Holder.sameAs(m.self) && (lost == nil || s.Name != lost.Name) {
			s.setHolder(nil)
			changed = true
		}
	}
	if lost == nil {
		return changed
	}
	s := l.shareNamed(lost.Name)
	if s == nil || !s.Holder.sameAs(m.self) && !s.isFree() && s.Epoch >= lost.Epoch {
		// The share no longer exists, or was taken since the return.
		return changed
	}
	if !s.Holder.sameAs(m.self) {
		self := m.self
		s.setHolder(&self)
		s.Epoch = max(s.Epoch, lost.Epoch)
		changed = true
	}
	return l.restoreSize(s, lost.Size) || changed
}

// restoreSize moves a share towards a size that it had before: down at once, and up by what no
// share or only free shares have. It reports whether the size changed.
func (l *Ledger) restoreSize(s *Share, size Amount) bool {
	before := s.Size
	s.Size = s.Size.Min(size)
	missing := size.Minus(s.Size)
	part := missing.Min(l.unallocated())
	s.Size, missing = s.Size.Plus(part), missing.Minus(part)
	for i := range l.Shares {
		if free := &l.Shares[i]; free.isFree() {
			part := free.Size.Min(missing)
			free.Size, s.Size, missing = free.Size.Minus(part), s.Size.Plus(part), missing.Minus(part)
		}
	}
	return s.Size != before
}

// isRestored reports whether the ledger agrees with what this instance may use.
func (m *Manager) isRestored(l *Ledger) bool {
	mine, lost := l.shareOf(m.self), m.restoring.share
	if mine == nil || lost == nil {
		return mine == nil && lost == nil
	}
	return mine.Name == lost.Name && mine.Size == lost.Size
}

// giveUpExcess lowers the limits to what the ledger has, closes what exceeds them, and adopts it.
func (m *Manager) giveUpExcess(ctx context.Context, l Ledger) {
	var size Amount
	if mine := l.shareOf(m.self); mine != nil {
		size = mine.Size.Min(m.Limit())
	}
	m.log.Warn("Part of the share was not restored and is given up.", "group", m.cfg.Group, "before", m.Limit(), "left", size)
	if m.lowerLimits(ctx, size) {
		m.adoptLedger(l)
		if mine := l.shareOf(m.self); mine != nil {
			kept := *mine
			m.restoring.share = &kept
		} else {
			m.restoring.share = nil
		}
	}
}
