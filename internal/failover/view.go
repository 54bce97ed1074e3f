package failover

import (
	"time"

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
	// HeardAt returns when a member was last asked anything that it answered, a
	// statement included, and Recheck has it asked for its report.
	HeardAt(address string) time.Time
	Recheck(address string)
}

// answering reports whether the member answered lately, by the last probe.
func answering(m group.MemberView) bool { return m.Failing.IsZero() && !m.SeenAt.IsZero() }

// reaches reports whether enough members answer for a promotion.
func reaches(s *group.Snapshot) bool { return s.Enough(answering) }
