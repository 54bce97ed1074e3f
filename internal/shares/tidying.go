package shares

import (
	"context"
	"sync"
)

// tidy brings the seat back to its target: down at once when the total was
// lowered, down when the excess is idle, up when there is room. It returns
// false when there is reason to come back soon.
func (m *Manager) tidy(ctx context.Context) bool {
	mine := m.ledger.seatOf(m.self)
	if mine == nil {
		return false
	}
	if m.change(ctx, changeSettle, (*Ledger).settleFree) {
		return false
	}
	over := mine.Size.Over(mine.Target)
	excess := m.ledger.Sum().Over(m.ledger.Total)
	switch {
	case !excess.Min(over).IsZero():
		return m.shrink(ctx, mine.Size, over)
	case !over.IsZero():
		m.returnIdle(ctx, mine, over)
	default:
		m.change(ctx, changeLevel, (*Ledger).level)
	}
	return true
}

// shrink gives up what a lowered total has no room for. It does not go back up
// when connections in use are slow to end: the document is in force.
func (m *Manager) shrink(ctx context.Context, before, over Amount) bool {
	if !m.lower(ctx, before.Minus(over)) {
		return false
	}
	return m.change(ctx, changeShrink, func(l *Ledger) bool {
		s := l.seatOf(m.self)
		if s == nil || s.Size != before {
			return false
		}
		s.Size = before.Minus(over)
		return true
	})
}

// returnIdle gives borrowed share that is idle back to seats below their target.
func (m *Manager) returnIdle(ctx context.Context, mine *Seat, over Amount) {
	before := mine.Size
	part := before.Over(m.needed()).Min(over)
	if !m.connections.quiet() || !m.slots.quiet() {
		return
	}
	l := m.ledger.clone()
	part = part.Minus(l.giveBack(mine.Name, part))
	if part.IsZero() {
		return
	}
	if !m.lower(ctx, before.Minus(part)) {
		m.apply(before)
		return
	}
	var glad []string
	returned := m.change(ctx, changeReturn, func(l *Ledger) bool {
		s := l.seatOf(m.self)
		if s == nil || s.Size != before {
			return false
		}
		s.Size = before.Minus(part)
		s.Size = s.Size.Plus(l.giveBack(s.Name, part))
		glad = l.others(m.self)
		return s.Size != before
	})
	if returned {
		go m.tell(context.WithoutCancel(ctx), glad)
	}
}

// tell points other holders at the changed ledger and waits until they know.
// Those that miss it read the ledger on their own beat.
func (m *Manager) tell(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout/4)
	defer cancel()
	var all sync.WaitGroup
	for _, address := range addresses {
		all.Go(func() {
			if err := m.cfg.Peers.Call(ctx, address, MethodReturn, Notice{Group: m.cfg.Group}, &Empty{}); err != nil {
				m.failed("peer", err)
			}
		})
	}
	all.Wait()
}
