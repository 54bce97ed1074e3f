package shares

import (
	"context"
	"maps"
	"slices"
	"time"
)

// Bounds of the backoff between attempts to borrow.
const (
	minBorrowBackoff = 200 * time.Millisecond
	maxBorrowBackoff = 10 * time.Second
)

// sampleAndBorrow samples usage, notifies refused borrowers of idle capacity, and
// borrows if this instance is short.
func (m *Manager) sampleAndBorrow(ctx context.Context) {
	now := m.cfg.Clock.Now()
	inUse, waiting := m.cfg.Connections.Usage()
	m.connectionUsage.addSample(now, inUse, waiting)
	inUse, waiting = m.cfg.Slots.Usage()
	m.slotUsage.addSample(now, inUse, waiting)
	if m.ledger.shareOf(m.self) == nil || m.restoring != nil {
		return
	}
	m.notifyRefusedBorrowers(ctx)
	if !m.consumeNotice() && now.Before(m.nextBorrowAt) {
		return
	}
	want := Amount{m.connectionUsage.shortage(), m.slotUsage.shortage()}
	if m.Limit().Slots == 0 {
		// Without any slot all requests are refused, so none waits.
		want.Slots = 1
	}
	if want.IsZero() {
		m.borrowBackoff = 0
		return
	}
	m.borrowBackoff = min(max(2*m.borrowBackoff, minBorrowBackoff), maxBorrowBackoff)
	m.nextBorrowAt = now.Add(m.borrowBackoff/2 + time.Duration(m.cfg.Rand.Int64N(int64(m.borrowBackoff/2))))
	m.borrowCapacity(ctx, want)
}

// notifyRefusedBorrowers notifies instances that were refused a loan once there is idle
// capacity. Without the notice they would ask again only after a backoff of up to
// maxBorrowBackoff.
func (m *Manager) notifyRefusedBorrowers(ctx context.Context) {
	if len(m.refusedBorrowers) == 0 || m.idleCapacity(m.ledger.shareOf(m.self)).IsZero() {
		return
	}
	addresses := slices.Collect(maps.Keys(m.refusedBorrowers))
	clear(m.refusedBorrowers)
	go m.notifyHolders(context.WithoutCancel(ctx), addresses)
}

// borrowCapacity borrows from free shares, or from another holder if they have nothing
// to spare.
func (m *Manager) borrowCapacity(ctx context.Context, want Amount) {
	call, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	if m.changeLedger(call, changeBorrow, func(l *Ledger) bool { return m.borrowFromFreeShares(l, want) }) {
		return
	}
	// This runs in its own goroutine: if two holders asked each other in the goroutine of
	// Run, neither could answer.
	go m.borrowFromHolders(ctx, m.possibleLenderAddresses(want), want)
}

// borrowFromFreeShares moves what free shares have above their floor to this instance's
// share.
func (m *Manager) borrowFromFreeShares(l *Ledger, want Amount) bool {
	mine := l.shareOf(m.self)
	if mine == nil {
		return false
	}
	var taken Amount
	for i := range l.Shares {
		s := &l.Shares[i]
		if !s.isFree() {
			continue
		}
		part := s.Size.ExcessOver(s.Floor).Min(want.Minus(taken))
		s.Size = s.Size.Minus(part)
		taken = taken.Plus(part)
	}
	mine.Size = mine.Size.Plus(taken)
	return !taken.IsZero()
}

// possibleLenderAddresses returns the addresses of the other holders that have more than
// their floor of something wanted, in random order.
func (m *Manager) possibleLenderAddresses(want Amount) []string {
	var addresses []string
	for _, s := range m.ledger.Shares {
		if s.isFree() || s.Holder.sameAs(m.self) || s.Size.ExcessOver(s.Floor).Min(want).IsZero() {
			continue
		}
		addresses = append(addresses, s.Holder.Address)
	}
	m.cfg.Rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// borrowFromHolders asks holders one after the other until one lends. If it asked only
// one per attempt, busy holders could hide an idle one for several backoffs. The answer
// is not used to raise the limits: the ledger is read afterwards in any case.
func (m *Manager) borrowFromHolders(ctx context.Context, addresses []string, want Amount) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	request := BorrowRequest{Group: m.cfg.Group, Borrower: m.self, Want: want}
	var reply BorrowReply
	for i := 0; i < len(addresses) && reply.Lent.IsZero() && ctx.Err() == nil; i++ {
		if err := m.cfg.Peers.Call(ctx, addresses[i], MethodBorrow, request, &reply); err != nil {
			m.recordCallFailure("peer", err)
		}
	}
	m.requestRefresh()
}
