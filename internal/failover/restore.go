package failover

import "context"

// restoreRecord writes the record of this instance's last promotion again if the platform's store
// lost it when it returned from a copy. Nobody else writes it, and without it the next claimer and
// operators would take the primary of the copy for the last one promoted. It does nothing if the
// store has the record of this promotion or of a later term. A failed attempt is repeated after
// idleInterval.
func (m *primaryMonitor) restoreRecord(ctx context.Context) {
	era := m.claimer.Platform.Eras().Latest()
	now := m.claimer.Clock.Now()
	if m.recorded.Primary == "" || m.recordedEra >= era || now.Before(m.restoreFrom) {
		return
	}
	m.restoreFrom = now.Add(idleInterval)
	current, version, err := m.claimer.readRecord(ctx)
	if err != nil {
		m.claimer.log.Debug("Reading the group's record failed.", "error", err)
		return
	}
	if current.Term > m.recorded.Term || current.Term == m.recorded.Term && current.Primary != "" {
		m.recordedEra = era
		return
	}
	lost := m.recorded
	lost.Number = nextNumber(current, version)
	stored, err := m.claimer.storeRecord(ctx, lost, version)
	if err != nil {
		m.claimer.log.Warn("Restoring the group's record failed; will retry.", "term", lost.Term, "error", err)
		return
	}
	m.recorded, m.recordedEra = lost, stored.Version.Era()
	m.claimer.log.Info("The group's record was lost by the platform and is restored.", "term", lost.Term, "primary", lost.Primary, "era", era)
}
