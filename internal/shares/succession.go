package shares

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// suspicion is what is known of a holder that seems to have vanished: since when
// this process has seen the mark on its seat.
type suspicion struct {
	epoch int64
	mark  string
	since time.Time
}

// succeed looks for a seat whose holder is gone.
func (m *Manager) succeed(ctx context.Context) {
	for _, s := range m.ledger.Seats {
		if s.free() || s.Holder.same(m.self) || !m.wants(s) {
			continue
		}
		switch m.ask(ctx, s) {
		case holderGone:
			m.takeOver(ctx, s, changeProved)
			return
		case holderSilent:
			if m.agedOut(ctx, s) {
				m.takeOver(ctx, s, changeAgedOut)
				return
			}
		case holderAlive:
			delete(m.suspicions, s.Name)
		}
	}
}

// wants reports whether a held seat would be better than what this instance has.
func (m *Manager) wants(s Seat) bool {
	if s.FailureDomain != "" {
		return s.FailureDomain == m.self.FailureDomain
	}
	return m.ledger.seatOf(m.self) == nil
}

// verdict is what a call to a holder's address showed.
type verdict int

const (
	holderSilent verdict = iota
	holderAlive
	holderGone
)

// ask calls a holder's address. An answer by another process proves that the
// holder ended, for only one process at a time takes calls at an address, and
// with its end the system closed its connections. The holder itself may say
// that it has closed all.
func (m *Manager) ask(ctx context.Context, s Seat) verdict {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout/4)
	defer cancel()
	var reply HolderReply
	err := m.cfg.Peers.Call(ctx, s.Holder.Address, MethodHolder, HolderRequest{Group: m.cfg.Group}, &reply)
	switch {
	case err != nil || reply.Incarnation == "":
		m.failed("peer", err)
		return holderSilent
	case reply.Incarnation != s.Holder.Incarnation || !reply.Holds:
		return holderGone
	default:
		return holderAlive
	}
}

// takeOver takes a seat from a holder that is gone, if it is still the same
// holder's.
func (m *Manager) takeOver(ctx context.Context, gone Seat, kind string) {
	delete(m.suspicions, gone.Name)
	if m.ledger.seatOf(m.self) == nil {
		m.setClaiming()
	}
	m.change(ctx, kind, func(l *Ledger) bool {
		s := l.seat(gone.Name)
		if s == nil || s.Epoch != gone.Epoch || (kind == changeAgedOut && s.Mark == nil) {
			return false
		}
		return m.moveTo(l, l.seatOf(m.self), s)
	})
}

// agedOut reports whether a silent holder's seat may be taken without proof. The
// wait is measured here, from when this process first saw the mark stored, and
// starts again when the holder removes it.
func (m *Manager) agedOut(ctx context.Context, s Seat) bool {
	if s.Holder.FailureDomain != m.self.FailureDomain || m.listed(ctx, s.Holder.Instance) {
		delete(m.suspicions, s.Name)
		return false
	}
	if s.Mark == nil {
		m.mark(ctx, s)
		return false
	}
	now := m.cfg.Clock.Now()
	known := m.suspicions[s.Name]
	if known.epoch != s.Epoch || known.mark != s.Mark.ID {
		known = suspicion{epoch: s.Epoch, mark: s.Mark.ID, since: now}
		m.suspicions[s.Name] = known
	}
	return now.Sub(known.since) >= m.cfg.AgeOut
}

// mark writes on a seat that its holder seems to have vanished.
func (m *Manager) mark(ctx context.Context, s Seat) {
	id := m.store.newID()
	m.change(ctx, changeMark, func(l *Ledger) bool {
		held := l.seat(s.Name)
		if held == nil || held.Epoch != s.Epoch || held.Mark != nil {
			return false
		}
		held.Mark = &Mark{ID: id, By: m.self.Instance}
		return true
	})
}

// listed reports whether the platform lists an instance; without an answer it
// counts as listed.
func (m *Manager) listed(ctx context.Context, instance string) bool {
	inventory, err := m.cfg.Platform.Inventory(ctx)
	if err != nil {
		m.failed("platform", err)
		return true
	}
	return inList(inventory, instance)
}

func inList(inventory platform.Inventory, instance string) bool {
	for _, i := range inventory.Instances {
		if i.ID == instance {
			return true
		}
	}
	return false
}
