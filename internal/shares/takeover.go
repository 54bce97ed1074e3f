package shares

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// suspicion records since when this process has seen the suspect mark on a share.
type suspicion struct {
	epoch  int64
	markID string
	since  time.Time
}

// takeOverVanished looks for a share whose holder is gone and takes it over.
func (m *Manager) takeOverVanished(ctx context.Context) {
	for _, s := range m.ledger.Shares {
		if s.isFree() || s.Holder.sameAs(m.self) || !m.prefersShare(s) {
			continue
		}
		switch m.probeHolder(ctx, s) {
		case holderGone:
			m.takeOverShare(ctx, s, changeTakeOverProved)
			return
		case holderUnreachable:
			if m.hasExpired(ctx, s) {
				m.takeOverShare(ctx, s, changeTakeOverExpired)
				return
			}
		case holderAlive:
			delete(m.suspicions, s.Name)
		}
	}
}

// prefersShare reports whether this instance would take a held share if its holder were
// gone: the share of its own failure domain, or any reserve share if it has no share.
func (m *Manager) prefersShare(s Share) bool {
	if s.FailureDomain != "" {
		return s.FailureDomain == m.self.FailureDomain
	}
	return m.ledger.shareOf(m.self) == nil
}

// holderState is the result of a call to a holder's address.
type holderState int

const (
	holderUnreachable holderState = iota
	holderAlive
	holderGone
)

// probeHolder calls a holder's address. An answer by another process proves that the
// holder has ended, because only one process at a time receives calls at an address,
// and the operating system closed its connections when it ended. The holder itself may
// report that it has closed all connections.
func (m *Manager) probeHolder(ctx context.Context, s Share) holderState {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout/4)
	defer cancel()
	var reply HolderReply
	err := m.cfg.Peers.Call(ctx, s.Holder.Address, MethodHolder, HolderRequest{Group: m.cfg.Group}, &reply)
	switch {
	case err != nil || reply.Incarnation == "":
		m.recordCallFailure("peer", err)
		return holderUnreachable
	case reply.Incarnation != s.Holder.Incarnation || !reply.Holds:
		return holderGone
	default:
		return holderAlive
	}
}

// takeOverShare takes the share of a holder that is gone, unless the share has changed
// hands since.
func (m *Manager) takeOverShare(ctx context.Context, gone Share, kind string) {
	delete(m.suspicions, gone.Name)
	if m.ledger.shareOf(m.self) == nil {
		m.setClaiming()
	}
	m.changeLedger(ctx, kind, func(l *Ledger) bool {
		s := l.shareNamed(gone.Name)
		if s == nil || s.Epoch != gone.Epoch || (kind == changeTakeOverExpired && s.Mark == nil) {
			return false
		}
		return m.moveToShare(l, l.shareOf(m.self), s)
	})
}

// hasExpired reports whether an unreachable holder's share may be taken without proof. If
// the holder is of this failure domain and the platform no longer lists it, hasExpired
// also marks a share that has no mark yet. This process measures the time from when it
// first read the stored mark, and starts again when the holder removes the mark.
func (m *Manager) hasExpired(ctx context.Context, s Share) bool {
	if s.Holder.FailureDomain != m.self.FailureDomain || m.isListed(ctx, s.Holder.Instance) {
		delete(m.suspicions, s.Name)
		return false
	}
	if s.Mark == nil {
		m.markSuspect(ctx, s)
		return false
	}
	now := m.cfg.Clock.Now()
	current := m.suspicions[s.Name]
	if current.epoch != s.Epoch || current.markID != s.Mark.ID {
		current = suspicion{epoch: s.Epoch, markID: s.Mark.ID, since: now}
		m.suspicions[s.Name] = current
	}
	return now.Sub(current.since) >= m.cfg.HolderExpiry
}

// markSuspect marks the holder of a share as suspected to have vanished.
func (m *Manager) markSuspect(ctx context.Context, s Share) {
	id := m.store.newID()
	m.changeLedger(ctx, changeMark, func(l *Ledger) bool {
		held := l.shareNamed(s.Name)
		if held == nil || held.Epoch != s.Epoch || held.Mark != nil {
			return false
		}
		held.Mark = &SuspectMark{ID: id, By: m.self.Instance}
		return true
	})
}

// isListed reports whether the platform's inventory contains an instance. It returns
// true if the platform does not answer.
func (m *Manager) isListed(ctx context.Context, instance string) bool {
	inventory, err := m.cfg.Platform.Inventory(ctx)
	if err != nil {
		m.recordCallFailure("platform", err)
		return true
	}
	return containsInstance(inventory, instance)
}

func containsInstance(inventory platform.Inventory, instance string) bool {
	for _, i := range inventory.Instances {
		if i.ID == instance {
			return true
		}
	}
	return false
}
