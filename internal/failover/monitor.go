package failover

import (
	"context"
	"errors"
	"time"

	"github.com/topazrock/topazrock/internal/group"
)

// idleInterval is the longest time between two checks of a healthy group. Changes
// wake the monitor earlier; the interval covers what signals no change, such as
// the first report of a member of a group that has no term yet.
const idleInterval = time.Second

// primaryMonitor claims a term when the primary is lost, stalled, leaving or missing.
type primaryMonitor struct {
	claimer  *Claimer
	detector failureDetector
	rival    rivalClaim
	backoff  backoff
	// earliestClaim is the time before which no claim is made.
	earliestClaim time.Time
	// replacement bounds the replacements of failing primaries.
	replacement replacement
	// recorded is the record of the last promotion by this instance, and recordedEra the era of the
	// platform's store that has it.
	recorded    Record
	recordedEra int64
	// restoreFrom is the time before which recorded is not written again.
	restoreFrom time.Time
}

func newPrimaryMonitor(c *Claimer) *primaryMonitor {
	delays := backoff{minDelay: c.Settings.MinBackoff, maxDelay: c.Settings.MaxBackoff, rand: c.Rand}
	return &primaryMonitor{
		claimer:     c,
		detector:    failureDetector{settings: c.Settings, work: workWatch{view: c.Work, enabled: c.ReplaceFailing}},
		backoff:     delays,
		replacement: replacement{cooldown: c.Settings.SwitchCooldown, backoff: delays},
	}
}

// run evaluates each change of the group until ctx ends.
func (m *primaryMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := m.claimer.View.Changes()
		m.restoreRecord(ctx)
		now, s := m.claimer.Clock.Now(), m.claimer.View.Snapshot()
		m.observeWork(now, s)
		a := m.detector.assess(now, s, m.claimer.rank(s))
		due := a.due
		if a.cause == CauseFailing && due.Before(m.replacement.earliest) {
			due = m.replacement.earliest
		}
		if due.Before(m.earliestClaim) {
			due = m.earliestClaim
		}
		switch {
		case a.cause == CauseNone:
			m.backoff.reset()
			m.claimer.pause(ctx, m.checkInterval(), changed)
		case now.Before(due):
			m.claimer.pause(ctx, limitWait(a.cause, due.Sub(now)), changed)
		default:
			m.failOver(ctx, s, a)
		}
	}
}

// failOver queries the witnesses, claims the next term and runs the attempt.
func (m *primaryMonitor) failOver(ctx context.Context, s *group.Snapshot, a assessment) {
	c := m.claimer
	c.callHook(StepSuspected)
	if !m.causeConfirmed(ctx, s, a) {
		c.Metrics.countClaim(a.cause, outcomeRefused)
		return
	}
	c.callHook(StepWitnessed)
	decidedAt := c.Clock.Now()
	won, err := m.claimTerm(ctx, s, a)
	if err != nil {
		m.handleClaimError(a, err)
		return
	}
	c.log.Info("Term claimed.", "term", won.record.Term, "cause", a.cause, "before", s.Term, "primary", s.Primary,
		"suspected_for", decidedAt.Sub(a.since).String(), "members", len(s.Members), "majority_of", s.Size)
	c.Metrics.countClaim(a.cause, outcomeWon)
	c.callHook(StepClaimed)
	gap := Timings{Group: c.Group, Term: won.record.Term, Cause: a.cause,
		Detect: decidedAt.Sub(a.since), Claim: c.Clock.Now().Sub(decidedAt)}
	attempt := newAttempt(c, won, s)
	err = attempt.run(ctx, &gap)
	if attempt.recorded.Primary != "" {
		m.recorded, m.recordedEra = attempt.recorded, won.version.Era()
	}
	if err != nil {
		attempt.withdraw(ctx)
		c.log.Warn("Failover attempt for the claimed term was abandoned.", "term", won.record.Term, "error", err)
		c.Metrics.countClaim(a.cause, outcomeAbandoned)
		m.delayClaims(m.backoff.nextDelay())
		return
	}
	c.Metrics.countClaim(a.cause, outcomeDone)
	m.backoff.reset()
	m.reportGap(gap)
	if a.cause == CauseFailing {
		m.replacement.completed(c.Clock.Now(), gap.Term)
		return
	}
	if a.cause.planned() && gap.Primary == s.Primary {
		m.delayClaims(c.Settings.SwitchCooldown)
	}
}

// causeConfirmed reports whether the other failure domains agree, where the cause requires it. If
// they do not, it schedules the next try.
func (m *primaryMonitor) causeConfirmed(ctx context.Context, s *group.Snapshot, a assessment) bool {
	switch {
	case a.cause == CauseFailing:
		if m.failureConfirmed(ctx, s) {
			return true
		}
		m.replacement.delay(m.claimer.Clock.Now())
		return false
	case a.cause.planned() || m.lossConfirmed(ctx, s):
		return true
	default:
		m.delayClaims(m.claimer.Settings.MinBackoff)
		return false
	}
}

// lossConfirmed reports whether the other failure domains agree that the primary is lost.
func (m *primaryMonitor) lossConfirmed(ctx context.Context, s *group.Snapshot) bool {
	ctx, cancel := context.WithTimeout(ctx, m.claimer.Settings.WitnessTimeout)
	defer cancel()
	reports := m.claimer.Witness.Query(ctx, WitnessRequest{Group: m.claimer.Group, Term: s.Term})
	ok := majorityReportsLoss(m.claimer.Self.FailureDomain, reports)
	if !ok {
		m.claimer.log.Info("Failover was not started because other instances reach the primary.", "term", s.Term, "answers", len(reports))
	}
	return ok
}

// handleClaimError counts a failed claim and schedules the next try.
func (m *primaryMonitor) handleClaimError(a assessment, err error) {
	outcome := outcomeUnavailable
	switch {
	case errors.Is(err, ErrRivalClaim):
		outcome = outcomeRival
		m.earliestClaim = m.rival.nextCheck
	case errors.Is(err, errForgottenClaim):
		outcome = outcomeRival
		m.earliestClaim = m.lostClaimsEnd()
		m.claimer.log.Info("Claim waits for the end of claims that the platform's store may have lost.",
			"era", m.claimer.Platform.Eras().Latest(), "until", m.earliestClaim)
	case errors.Is(err, errCoolingDown):
		outcome = outcomeCooldown
		m.claimer.log.Info("Replacement of a failing primary waits for the end of the cooldown.", "until", m.replacement.earliest)
	case errors.Is(err, ErrLostClaim):
		outcome = outcomeLost
		m.delayClaims(m.claimer.Settings.MinBackoff)
	case errors.Is(err, errRecovered) && a.cause == CauseFailing:
		outcome = outcomeRefused
		m.replacement.delay(m.claimer.Clock.Now())
	case errors.Is(err, errRecovered):
		outcome = outcomeRefused
		m.delayClaims(m.claimer.Settings.MinBackoff)
	default:
		m.claimer.log.Warn("Claim failed.", "error", err)
		m.delayClaims(m.backoff.nextDelay())
	}
	m.claimer.Metrics.countClaim(a.cause, outcome)
}

func (m *primaryMonitor) delayClaims(d time.Duration) { m.earliestClaim = m.claimer.Clock.Now().Add(d) }

func (m *primaryMonitor) reportGap(gap Timings) {
	m.claimer.Metrics.observeGap(gap)
	m.claimer.log.Info("Primary replaced.", "term", gap.Term, "member", gap.Primary, "cause", gap.Cause,
		"detect", gap.Detect.String(), "claim", gap.Claim.String(), "fence", gap.Fence.String(),
		"promote", gap.Promote.String(), "learn", gap.Attach.String())
	if m.claimer.OnFailover != nil {
		m.claimer.OnFailover(gap)
	}
}
