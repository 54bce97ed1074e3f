package failover

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/group"
)

// workInterval is the interval at which the work of a primary is checked, because the view signals
// no change of it. It is short beside FailingTime.
const workInterval = 100 * time.Millisecond

// checkInterval returns the longest time between two checks of a healthy group.
func (m *primaryMonitor) checkInterval() time.Duration {
	if m.detector.work.inUse() {
		return workInterval
	}
	return idleInterval
}

// limitWait limits a wait for the time at which a claim is due. The evidence against a failing
// primary may end, or become older, without a change of the view.
func limitWait(c Cause, wait time.Duration) time.Duration {
	if c == CauseFailing {
		return min(wait, workInterval)
	}
	return wait
}

// observeWork updates what is known of the primary's work.
func (m *primaryMonitor) observeWork(now time.Time, s *group.Snapshot) {
	if m.detector.work.observe(now, s) {
		m.claimer.Metrics.ignored.WithLabelValues(ignoredImplausible).Inc()
		m.claimer.log.Warn("Work of the primary is not plausible and is ignored.", "primary", s.Primary, "term", s.Term)
	}
	if !m.detector.work.evidence(now, s).failing() {
		m.replacement.reset()
	}
}

// failureConfirmed reports whether enough failure domains see the primary fail its statements.
func (m *primaryMonitor) failureConfirmed(ctx context.Context, s *group.Snapshot) bool {
	c := m.claimer
	ctx, cancel := context.WithTimeout(ctx, c.Settings.WitnessTimeout)
	defer cancel()
	reports := c.Witness.Query(ctx, WitnessRequest{Group: c.Group, Term: s.Term, Work: true})
	now := c.Clock.Now()
	e := m.detector.work.evidence(now, s)
	if !e.failing() {
		return false
	}
	vote := m.countVotes(now, e, reports)
	agreed := vote.agrees()
	if agreed || !m.replacement.objected {
		message := "Failure domains agree that the primary fails its statements."
		if !agreed {
			message = "Failing primary was not replaced because too few failure domains agree."
		}
		c.log.Info(message, "term", s.Term, "member", e.member, "incarnation", e.work.Incarnation,
			"served", e.work.Served, "failed", e.work.Failed, "failing_for", now.Sub(e.since).String(),
			"domains_failing", vote.failing, "domains_serving", vote.serving, "domains", vote.domains)
	}
	m.replacement.objected = !agreed
	return agreed
}

// countVotes counts the failure domains, this instance's own included.
func (m *primaryMonitor) countVotes(now time.Time, e workEvidence, reports []WitnessReport) workVote {
	votes := workVotes{m.claimer.Self.FailureDomain: WorkFailing}
	for _, report := range reports {
		state, ignored := judgeReport(now, e, m.detector.work.termSince, report.Work)
		if ignored != "" {
			m.claimer.Metrics.ignored.WithLabelValues(ignored).Inc()
		}
		votes.add(report.FailureDomain, state)
	}
	domains := map[string]bool{m.claimer.Self.FailureDomain: true}
	for _, i := range m.claimer.Instances() {
		domains[i.FailureDomain] = true
	}
	return votes.count(len(domains))
}
