package shares

import (
	"context"
	"sync"
)

// adjustToTarget moves the size of the share towards its target. It lowers the size at
// once if the shares exceed a lowered total, otherwise only as far as the excess is idle.
// It raises the size as far as the total allows. It returns false if it should be called
// again soon.
func (m *Manager) adjustToTarget(ctx context.Context) bool {
	mine := m.ledger.shareOf(m.self)
	if mine == nil {
		return false
	}
	if m.changeLedger(ctx, changeTrimFreeShares, (*Ledger).trimFreeShares) {
		return false
	}
	overTarget := mine.Size.ExcessOver(mine.Target)
	overTotal := m.ledger.Sum().ExcessOver(m.ledger.Total)
	switch {
	case !overTotal.Min(overTarget).IsZero():
		return m.shrinkToTarget(ctx, mine.Size, overTarget)
	case !overTarget.IsZero():
		m.returnIdleCapacity(ctx, mine, overTarget)
	default:
		m.changeLedger(ctx, changeRaiseToTargets, (*Ledger).raiseToTargets)
	}
	return true
}

// shrinkToTarget gives up what the share has above its target. If connections in use are
// slow to close, it does not restore the limits, because the document with the lower
// total is already in force.
func (m *Manager) shrinkToTarget(ctx context.Context, before, overTarget Amount) bool {
	if !m.lowerLimits(ctx, before.Minus(overTarget)) {
		return false
	}
	return m.changeLedger(ctx, changeShrink, func(l *Ledger) bool {
		s := l.shareOf(m.self)
		if s == nil || s.Size != before {
			return false
		}
		s.Size = before.Minus(overTarget)
		return true
	})
}

// returnIdleCapacity returns idle borrowed capacity to shares below their target.
func (m *Manager) returnIdleCapacity(ctx context.Context, mine *Share, overTarget Amount) {
	before := mine.Size
	part := before.ExcessOver(m.recentNeed()).Min(overTarget)
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
		addresses = l.otherHolderAddresses(m.self)
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
