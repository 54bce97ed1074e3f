package shares

import (
	"context"
	"sync"
)

// adjustToTarget moves the size of the share towards its target: down at once if the
// total was lowered, down if the excess is idle, up if the total allows it. It returns
// false if it should be called again soon.
func (m *Manager) adjustToTarget(ctx context.Context) bool {
	mine := m.ledger.shareOf(m.self)
	if mine == nil {
		return false
	}
	if m.changeLedger(ctx, changeTrimFreeShares, (*Ledger).trimFreeShares) {
		return false
	}
	over := mine.Size.ExcessOver(mine.Target)
	excess := m.ledger.Sum().ExcessOver(m.ledger.Total)
	switch {
	case !excess.Min(over).IsZero():
		return m.shrinkToTarget(ctx, mine.Size, over)
	case !over.IsZero():
		m.returnIdleCapacity(ctx, mine, over)
	default:
		m.changeLedger(ctx, changeRaiseToTargets, (*Ledger).raiseToTargets)
	}
	return true
}

// shrinkToTarget gives up what a lowered total does not allow. It does not restore the
// limits if connections in use are slow to close, because the document is already in
// force.
func (m *Manager) shrinkToTarget(ctx context.Context, before, over Amount) bool {
	if !m.lowerLimits(ctx, before.Minus(over)) {
		return false
	}
	return m.changeLedger(ctx, changeShrink, func(l *Ledger) bool {
		s := l.shareOf(m.self)
		if s == nil || s.Size != before {
			return false
		}
		s.Size = before.Minus(over)
		return true
	})
}

// returnIdleCapacity returns idle borrowed capacity to shares below their target.
func (m *Manager) returnIdleCapacity(ctx context.Context, mine *Share, over Amount) {
	before := mine.Size
	part := before.ExcessOver(m.recentNeed()).Min(over)
	if !m.connectionUsage.noneWaiting() || !m.slotUsage.noneWaiting() {
		return
	}
	l := m.ledger.clone()
	part = part.Minus(l.fillToTargets(mine.Name, part))
	if part.IsZero() {
		return
	}
	if !m.lowerLimits(ctx, before.Minus(part)) {
		m.applyLimits(before)
		return
	}
	var addresses []string
	returned := m.changeLedger(ctx, changeReturn, func(l *Ledger) bool {
		s := l.shareOf(m.self)
		if s == nil || s.Size != before {
			return false
		}
		s.Size = before.Minus(part)
		s.Size = s.Size.Plus(l.fillToTargets(s.Name, part))
		addresses = l.otherHolders(m.self)
		return s.Size != before
	})
	if returned {
		go m.notifyHolders(context.WithoutCancel(ctx), addresses)
	}
}

// notifyHolders notifies other holders of available capacity and waits for their
// answers. Holders that miss the notice read the ledger at their next refresh.
func (m *Manager) notifyHolders(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout/4)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			if err := m.cfg.Peers.Call(ctx, address, MethodCapacityNotice, CapacityNotice{Group: m.cfg.Group}, &Empty{}); err != nil {
				m.recordCallFailure("peer", err)
			}
		})
	}
	wg.Wait()
}
