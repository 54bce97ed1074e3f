package executor

import (
	"time"

	"github.com/topazrock/topazrock/internal/group"
)

// pastDeadline makes every read and write on a connection end at once.
var pastDeadline = time.Unix(1, 0)

// endUnanswered ends units that wait for a member which no longer answers: at once
// where another one is the primary, and after the time of a failover where it is
// the known primary itself, as seen from a failure domain that is cut off. A
// member out of reach does not close its connections: without this, units sent to
// it would hold their slots and their callers until the statement timeout. They
// were sent, so their outcome is unknown, as it would be at the timeout; a keyed
// request has its time left to settle it.
func (g *Group) endUnanswered() {
	s := g.Tracker.Snapshot()
	for _, m := range s.Members {
		if unanswered(s, m, g.Clock.Now()) {
			g.running.interrupt(m.Address)
		}
	}
}

func unanswered(s *group.Snapshot, m group.MemberView, now time.Time) bool {
	if m.Failing.IsZero() || s.Primary == "" {
		return false
	}
	return m.Address != s.Primary || now.Sub(m.Failing) > failoverWait
}
