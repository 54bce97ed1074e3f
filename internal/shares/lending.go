package shares

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// loan is a borrower's call on its way to the goroutine of Run.
type loan struct {
	request BorrowRequest
	reply   chan BorrowReply
}

// Pauses between searches for share to borrow.
const (
	minSeekPause = 200 * time.Millisecond
	maxSeekPause = 10 * time.Second
)

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
