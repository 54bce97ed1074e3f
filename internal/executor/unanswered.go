package executor

import (
	"time"

	"github.com/topazrock/topazrock/internal/group"
)

// pastDeadline makes every read and write on a connection return immediately.
var pastDeadline = time.Unix(1, 0)

// interruptUnanswered interrupts units that wait for a member that no longer answers: immediately
// if another member is the primary, and after failoverWait if the member itself is still the known
// primary, which is the view from an isolated failure domain. An unreachable member does not close
// its connections; without this, units sent to it would hold their slots and callers until the
// statement timeout. The units were sent, so their outcome is unknown, as it would be at the
// timeout; a keyed request still has time to resolve it.
func (g *Group) interruptUnanswered() {
	s := g.Tracker.Snapshot()
	for _, m := range s.Members {
		if isLostMember(s, m, g.Clock.Now()) {
			g.runningUnits.interruptMember(m.Address)
		}
	}
}

func isLostMember(s *group.Snapshot, m group.MemberView, now time.Time) bool {
	if m.FailingSince.IsZero() || s.Primary == "" {
		return false
	}
	return m.Address != s.Primary || now.Sub(m.FailingSince) > failoverWait
}
