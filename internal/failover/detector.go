package failover

import (
	"cmp"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
)

// failureDetector decides from snapshots whether a claim is due. It does no I/O.
type failureDetector struct {
	settings Settings
	// causeSince is when cause was first seen in term.
	term       logpos.Term
	cause      Cause
	causeSince time.Time
	// termIncreases counts the increases of the term since the group was last stable.
	// unstableAt is when the term last increased, a probe of its primary last failed, or
	// it last had no primary.
	termIncreases int
	unstableAt    time.Time
	// quorumSince is since when a quorum has been reachable; zero if none is.
	quorumSince time.Time
	// work follows the work of the primary.
	work workWatch
}

// maxTimeoutDoublings limits how often the detection time doubles, once for each increase
// of the term since the group was last stable, and how often the takeover timeout does. Load that makes a primary answer late
// makes its successor answer late as well; without more time after each increase, they
// would depose each other for as long as the load lasts. A primary that is lost
// after a stable period is detected without any extra delay.
const maxTimeoutDoublings = 2

// firstAttachFactor is how many times the stall timeout is added while no replica
// has been attached in the term yet.
const firstAttachFactor = 5

// assessment is the result of evaluating a snapshot: why and when to claim a term.
type assessment struct {
	cause Cause
	// since is when the problem was first seen, and due is when the claim is due.
	since time.Time
	due   time.Time
}

// assess evaluates a snapshot. rank is this instance's rank among the claimers.
func (d *failureDetector) assess(now time.Time, s *group.Snapshot, rank int) assessment {
	cause := d.causeOf(now, s)
	d.trackCause(now, s, cause)
	d.trackQuorum(now, s)
	since, wait := d.causeSince, time.Duration(rank)*d.settings.Stagger
	switch cause {
	case CauseLost:
		m, _ := s.FindMember(s.Primary)
		since = m.FailingSince
		// While this instance was cut off itself, failed probes of the primary proved nothing.
		if d.quorumSince.After(since) {
			since = d.quorumSince
		}
		wait += d.detectionTime(m)
	case CauseLeaderless:
		wait += d.takeoverTimeout()
	case CauseStalled:
		since = s.StalledSince
		wait += d.settings.StallTimeout
		// After a promotion, replicas may need a long time to attach. Promoting another
		// member meanwhile would make them start over, possibly forever.
		if s.QuorumAttachedAt.IsZero() {
			wait += d.settings.StallTimeout * firstAttachFactor
		}
	case CauseFailing:
		since = d.failingSince(now, s)
		wait += d.settings.FailingTime << min(d.termIncreases, maxTimeoutDoublings)
	case CauseLeaving:
		// The primary still serves, so a claim is not urgent: a stagger ten times as long
		// leaves the claim to the first-ranked instance.
		wait *= 10
	}
	return assessment{cause: cause, since: since, due: since.Add(wait)}
}

// failingSince returns since when the primary has been failing its work; now if it stopped meanwhile.
func (d *failureDetector) failingSince(now time.Time, s *group.Snapshot) time.Time {
	if e := d.work.evidence(now, s); e.failing() {
		return e.since
	}
	return now
}

// trackQuorum tracks since when a quorum has been reachable.
func (d *failureDetector) trackQuorum(now time.Time, s *group.Snapshot) {
	switch {
	case !quorumReachable(s):
		d.quorumSince = time.Time{}
	case d.quorumSince.IsZero():
		d.quorumSince = now
	}
}

// detectionTime returns how long the primary must have failed. It is not extended for a
// refused probe: a process that is merely slow does not refuse connections.
func (d *failureDetector) detectionTime(m group.MemberView) time.Duration {
	if m.ConnectionRefused {
		return d.settings.DetectionTime
	}
	return d.settings.DetectionTime << min(d.termIncreases, maxTimeoutDoublings)
}

// takeoverTimeout returns how long a claimed term may have no primary. It doubles with
// each recent increase of the term after the first: where everything is slow, claimers
// with the normal timeout would keep superseding each other's terms.
func (d *failureDetector) takeoverTimeout() time.Duration {
	return d.settings.TakeoverTimeout << min(max(d.termIncreases-1, 0), maxTimeoutDoublings)
}

// trackCause tracks since when one cause has applied in one term, and how often
// the term increased since the group was last stable.
func (d *failureDetector) trackCause(now time.Time, s *group.Snapshot, c Cause) {
	if now.Sub(d.unstableAt) > d.settings.StablePeriod {
		d.termIncreases = 0
	}
	m, _ := s.FindMember(s.Primary)
	increased := d.term != 0 && s.Term > d.term
	if increased {
		d.termIncreases++
	}
	if increased || m.Failures > 0 || s.Primary == "" {
		d.unstableAt = now
	}
	if d.term != s.Term || d.cause != c {
		d.term, d.cause, d.causeSince = s.Term, c, now
	}
}

func (d *failureDetector) causeOf(now time.Time, s *group.Snapshot) Cause {
	// An instance that cannot reach a majority cannot fence one; its claim would only
	// depose a primary that may be healthy.
	if !quorumReachable(s) {
		return CauseNone
	}
	if s.Primary == "" {
		return CauseLeaderless
	}
	m, _ := s.FindMember(s.Primary)
	switch {
	case m.Failures >= d.settings.MinFailures:
		return CauseLost
	case m.Failures > 0 || !othersFormQuorum(s):
		return CauseNone
	case m.Leaving && s.StalledSince.IsZero():
		return CauseLeaving
	case !s.StalledSince.IsZero():
		return CauseStalled
	case d.work.evidence(now, s).failing():
		return CauseFailing
	default:
		return CauseNone
	}
}

// othersFormQuorum reports whether the answering members that may replace the primary
// form a quorum without it. Such a quorum holds all acknowledged writes, so the primary
// does not need to be chosen again for its longer log.
func othersFormQuorum(s *group.Snapshot) bool {
	return s.IsQuorum(func(m group.MemberView) bool {
		return m.Address != s.Primary && !m.Leaving && answering(m)
	})
}

// selectCandidate returns the fenced member with the highest last record. Among equals
// it prefers one that is not to be avoided, and then one that does not fail its statements.
func selectCandidate(fenced []fencedMember) fencedMember {
	return slices.MaxFunc(fenced, func(a, b fencedMember) int {
		switch x, y := a.status.LastRecord, b.status.LastRecord; {
		case x.Less(y):
			return -1
		case y.Less(x):
			return 1
		default:
			return cmp.Compare(b.memberAttempt.reluctance(), a.memberAttempt.reluctance())
		}
	})
}
