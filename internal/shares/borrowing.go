package shares

import (
	"context"
	"maps"
	"slices"
	"time"
)

// Pauses between searches for share to borrow.
const (
	minSeekPause = 200 * time.Millisecond
	maxSeekPause = 10 * time.Second
)

// look samples the use and borrows or gives back.
func (m *Manager) look(ctx context.Context) {
	now := m.cfg.Clock.Now()
	inUse, waiting := m.cfg.Connections.Use()
	m.connections.sample(now, inUse, waiting)
	inUse, waiting = m.cfg.Slots.Use()
	m.slots.sample(now, inUse, waiting)
	if m.ledger.seatOf(m.self) == nil {
		return
	}
	m.offer(ctx)
	if !m.takeOffer() && now.Before(m.seekAfter) {
		return
	}
	want := Amount{m.connections.wanted(), m.slots.wanted()}
	if m.Limit().Slots == 0 {
		// Without any slot all requests are refused and none waits.
		want.Slots = 1
	}
	if want.IsZero() {
		m.seekPause = 0
		return
	}
	m.seekPause = min(max(2*m.seekPause, minSeekPause), maxSeekPause)
	m.seekAfter = now.Add(m.seekPause/2 + time.Duration(m.cfg.Rand.Int64N(int64(m.seekPause/2))))
	m.seek(ctx, want)
}

// offer tells those that were refused a loan that there is idle share now. They
// would ask again only after a pause of up to maxSeekPause.
func (m *Manager) offer(ctx context.Context) {
	if len(m.turnedAway) == 0 || m.idle(m.ledger.seatOf(m.self)).IsZero() {
		return
	}
	addresses := slices.Collect(maps.Keys(m.turnedAway))
	clear(m.turnedAway)
	go m.tell(context.WithoutCancel(ctx), addresses)
}

// seek takes from free seats what they can spare, or else asks another holder.
func (m *Manager) seek(ctx context.Context, want Amount) {
	call, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	if m.change(call, changeBorrow, func(l *Ledger) bool { return m.takeSpare(l, want) }) {
		return
	}
	// In its own goroutine, because two holders may ask each other.
	go m.borrow(ctx, m.lenders(want), want)
}

// takeSpare moves what free seats have above their floor to this instance's.
func (m *Manager) takeSpare(l *Ledger, want Amount) bool {
	mine := l.seatOf(m.self)
	if mine == nil {
		return false
	}
	var taken Amount
	for i := range l.Seats {
		s := &l.Seats[i]
		if !s.free() {
			continue
		}
		part := s.Size.Over(s.Floor).Min(want.Minus(taken))
		s.Size = s.Size.Minus(part)
		taken = taken.Plus(part)
	}
	mine.Size = mine.Size.Plus(taken)
	return !taken.IsZero()
}

// lenders returns the holders that have more than their floor, in random order.
func (m *Manager) lenders(want Amount) []string {
	var addresses []string
	for _, s := range m.ledger.Seats {
		if s.free() || s.Holder.same(m.self) || s.Size.Over(s.Floor).Min(want).IsZero() {
			continue
		}
		addresses = append(addresses, s.Holder.Address)
	}
	m.cfg.Rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// borrow asks holders one after the other until one lends: with one question a
// pause, busy holders would hide an idle one for several pauses. The answer only
// says that the ledger is worth reading.
func (m *Manager) borrow(ctx context.Context, addresses []string, want Amount) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	request := BorrowRequest{Group: m.cfg.Group, Borrower: m.self, Want: want}
	var reply BorrowReply
	for i := 0; i < len(addresses) && reply.Lent.IsZero() && ctx.Err() == nil; i++ {
		if err := m.cfg.Peers.Call(ctx, addresses[i], MethodBorrow, request, &reply); err != nil {
			m.failed("peer", err)
		}
	}
	m.notify()
}
