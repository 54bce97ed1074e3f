package failover

import (
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/member"
)

// View is what a claimer knows of the group. *group.Watcher implements it.
type View interface {
	Snapshot() *group.Snapshot
	// Changes is closed at the next change of term, primary or suspicion.
	Changes() <-chan struct{}
	// Ask and Observe hand in the reports that calls of the claimer bring.
	Ask() group.Ticket
	Observe(address string, t group.Ticket, s member.Status)
}

// sizeOf is how many members of a group a majority is counted over.
func sizeOf(s *group.Snapshot) int { return max(s.Size, len(s.Members)) }

// majority is how many of n members a promotion must fence.
func majority(n int) int { return n/2 + 1 }

// answering reports whether the member answered lately, by the last probe.
func answering(m group.MemberView) bool { return m.Failing.IsZero() && !m.SeenAt.IsZero() }

// reaches reports whether a majority of the members answers.
func reaches(s *group.Snapshot) bool {
	n := 0
	for _, m := range s.Members {
		if answering(m) {
			n++
		}
	}
	return n >= majority(sizeOf(s))
}
