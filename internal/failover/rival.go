package failover

import (
	"time"

	"github.com/topazrock/topazrock/internal/group"
)

// rivalClaim is another instance's claim of a term that has no primary yet.
type rivalClaim struct {
	claimID string
	// deadline is when the claim expires if its promotion was not announced.
	deadline time.Time
	// announcedDeadline is when it expires if its promotion was announced; zero until the
	// announcement was read.
	announcedDeadline time.Time
	// nextCheck is when the claim is read again.
	nextCheck time.Time
}

// claimExpired reports whether a claimed term has had no primary for the takeover timeout. The
// timeout starts when this instance first read the claim, so clocks of different instances are
// never compared.
//
// A claimer whose promotion is announced and that does not answer may be paused between its last
// check of the claim and its request. It gets more time, and the claim is read again
// meanwhile, because it may be withdrawn. A claim of this instance itself needs no more time: its
// attempt has ended, or it was made by an earlier process.
func (m *primaryMonitor) claimExpired(r Record, s *group.Snapshot) bool {
	now, stagger := m.claimer.Clock.Now(), time.Duration(m.claimer.rank(s))*m.claimer.Settings.Stagger
	if m.rival.claimID != r.Claim {
		m.rival = rivalClaim{claimID: r.Claim, deadline: now.Add(m.detector.takeoverTimeout() + stagger)}
	}
	deadline := m.rival.deadline
	m.rival.nextCheck = deadline
	if r.mayBeRequested() && r.Claimer != m.claimer.Self.ID {
		if m.rival.announcedDeadline.IsZero() {
			m.rival.announcedDeadline = now.Add(m.claimer.Settings.AnnouncedTimeout + stagger)
		}
		deadline = m.rival.announcedDeadline
		m.rival.nextCheck = now.Add(min(deadline.Sub(now), idleInterval))
	}
	return !now.Before(deadline)
}
