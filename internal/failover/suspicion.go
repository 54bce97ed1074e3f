package failover

import (
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
)

// suspicion decides from snapshots whether a claim is due. It does no I/O.
type suspicion struct {
	settings Settings
	// term and since tell since when the present term has been seen without a
	// primary, or with one that leaves; zero when neither holds.
	term  logpos.Term
	cause Cause
	since time.Time
	// rises counts the rises of the term since the group was last calm, and
	// troubled is when the term last rose or its primary last missed a probe.
	rises    int
	troubled time.Time
	// reachable is since when a majority has been reached; zero while none is.
	reachable time.Time
}

// maxDoublings bounds how often the detection time doubles, once for each rise
// of the term since the group was calm. Load that makes a primary answer late
// makes its successor answer late as well; without more time at each rise, they
// would depose each other for as long as the load lasts. A primary that is lost
// out of a calm is replaced as fast as the first.
const maxDoublings = 2

// firstAttachFactor is how many times the stall time is added while no replica
// has been attached in the term yet.
const firstAttachFactor = 5

// verdict is what suspicion finds: a cause, and the moment it becomes due.
type verdict struct {
	cause Cause
	// began is when the trouble was first seen.
	began time.Time
	due   time.Time
}

// assess looks at a snapshot. rank is this instance's place among claimers.
func (p *suspicion) assess(now time.Time, s *group.Snapshot, rank int) verdict {
	cause := p.causeOf(s)
	p.note(now, s, cause)
	p.noteReach(now, s)
	began, wait := p.since, time.Duration(rank)*p.settings.Stagger
	switch cause {
	case CauseLost:
		m, _ := s.Find(s.Primary)
		began = m.Failing
		// While this instance was cut off itself, the primary's silence said nothing.
		if p.reachable.After(began) {
			began = p.reachable
		}
		wait += p.detection(m)
	case CauseLeaderless:
		wait += p.takeover()
	case CauseStalled:
		began = s.StalledSince
		wait += p.settings.Stall
		// After a promotion replicas may need long to attach. To promote another
		// one meanwhile would make them begin again, for ever.
		if s.ConfirmedAt.IsZero() {
			wait += p.settings.Stall * firstAttachFactor
		}
	case CauseLeaving:
		// Nothing is down, so there is time to leave it to the first in rank.
		wait *= 10
	}
	return verdict{cause: cause, began: began, due: began.Add(wait)}
}

// noteReach keeps the time since which a majority has been reached.
func (p *suspicion) noteReach(now time.Time, s *group.Snapshot) {
	switch {
	case !reaches(s):
		p.reachable = time.Time{}
	case p.reachable.IsZero():
		p.reachable = now
	}
}

// detection is how long the primary must have failed. A refused probe is no
// matter of time: a process that is slow does not refuse.
func (p *suspicion) detection(m group.MemberView) time.Duration {
	if m.Refused {
		return p.settings.Detect
	}
	return p.settings.Detect << min(p.rises, maxDoublings)
}

// takeover is how long a claimed term may be without a primary. It doubles with
// each further term of late: where everything is slow, claimers that give each
// other no more time than usual would take the term from each other for ever.
func (p *suspicion) takeover() time.Duration {
	return p.settings.Takeover << min(max(p.rises-1, 0), maxDoublings)
}

// note keeps the time since which one cause has stood in one term, and how often
// the term rose since the group was calm.
func (p *suspicion) note(now time.Time, s *group.Snapshot, c Cause) {
	if now.Sub(p.troubled) > p.settings.Calm {
		p.rises = 0
	}
	m, _ := s.Find(s.Primary)
	rose := p.term != 0 && s.Term > p.term
	if rose {
		p.rises++
	}
	if rose || m.Failures > 0 || s.Primary == "" {
		p.troubled = now
	}
	if p.term != s.Term || p.cause != c {
		p.term, p.cause, p.since = s.Term, c, now
	}
}

func (p *suspicion) causeOf(s *group.Snapshot) Cause {
	// Who cannot reach a majority can fence none; its claim would only take the
	// term away from a primary that may be well.
	if !reaches(s) {
		return CauseNone
	}
	if s.Primary == "" {
		return CauseLeaderless
	}
	m, _ := s.Find(s.Primary)
	switch {
	case m.Failures >= p.settings.MinFailures:
		return CauseLost
	case m.Failures > 0 || !othersReach(s):
		return CauseNone
	case m.Leaving && s.StalledSince.IsZero():
		return CauseLeaving
	case !s.StalledSince.IsZero():
		return CauseStalled
	default:
		return CauseNone
	}
}

// othersReach reports whether the members that may lead instead of the primary,
// and answer, are enough by themselves. They hold all that was acknowledged,
// so that the primary need not be chosen again for its longer log.
func othersReach(s *group.Snapshot) bool {
	return s.Enough(func(m group.MemberView) bool {
		return m.Address != s.Primary && !m.Leaving && answering(m)
	})
}

// best returns the report with the highest last record. Among equals one that
// is to be avoided goes last.
func best(fenced []fencing) fencing {
	return slices.MaxFunc(fenced, func(a, b fencing) int {
		switch x, y := a.status.Last, b.status.Last; {
		case x.Less(y):
			return -1
		case y.Less(x):
			return 1
		case a.memberAttempt.avoid && !b.memberAttempt.avoid:
			return -1
		case b.memberAttempt.avoid && !a.memberAttempt.avoid:
			return 1
		default:
			return 0
		}
	})
}
