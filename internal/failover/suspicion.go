package failover

import (
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// suspicion decides from snapshots whether a claim is due. It does no I/O.
type suspicion struct {
	settings Settings
	// term and since tell since when the present term has been seen without a
	// primary, or with one that leaves; zero when neither holds.
	term  logpos.Term
	cause Cause
	since time.Time
}

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
	wait := time.Duration(rank) * p.settings.Stagger
	if cause == CauseLost {
		m, _ := s.Find(s.Primary)
		p.note(now, s.Term, cause)
		return verdict{cause: cause, began: m.Failing, due: m.Failing.Add(p.settings.Detect + wait)}
	}
	p.note(now, s.Term, cause)
	switch cause {
	case CauseLeaderless:
		wait += p.settings.Takeover
	case CauseLeaving:
		// Nothing is down, so there is time to leave it to the first in rank.
		wait *= 10
	}
	return verdict{cause: cause, began: p.since, due: p.since.Add(wait)}
}

// note keeps the time since which one cause has stood in one term.
func (p *suspicion) note(now time.Time, term logpos.Term, c Cause) {
	if p.term != term || p.cause != c {
		p.term, p.cause, p.since = term, c, now
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
	case m.Leaving && m.Failures == 0 && replaceable(s):
		return CauseLeaving
	default:
		return CauseNone
	}
}

// replaceable reports whether the members that stay are a majority that answers
// and follows in the term, so that a switch-over loses nothing.
func replaceable(s *group.Snapshot) bool {
	n := 0
	for _, m := range s.Members {
		if m.Address != s.Primary && !m.Leaving && answering(m) && m.Status.Attached == s.Term && m.Status.Role == member.RoleReplica {
			n++
		}
	}
	return n >= majority(len(s.Members))
}

// best returns the report with the highest last record. Among equals one that
// stays goes before one that leaves.
func best(fenced []fencing) fencing {
	return slices.MaxFunc(fenced, func(a, b fencing) int {
		switch x, y := a.status.Last, b.status.Last; {
		case x.Less(y):
			return -1
		case y.Less(x):
			return 1
		case a.leaving != b.leaving && a.leaving:
			return -1
		case a.leaving != b.leaving:
			return 1
		default:
			return 0
		}
	})
}
