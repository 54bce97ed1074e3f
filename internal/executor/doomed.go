package executor

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/group"
)

// doomedInterval is how often units at failing members are looked for.
const doomedInterval = 20 * time.Millisecond

// pastDeadline makes every read and write on a connection end at once.
var pastDeadline = time.Unix(1, 0)

// endDoomed ends units that wait for a member which no longer answers and is not
// the primary. A primary that is cut off does not close its connections: without
// this, units sent to it would hold their slots and their callers until the
// statement timeout, long after its successor takes writes. They were sent, so
// their outcome is unknown, as it would be at the timeout; a keyed request has
// its time left to settle it.
func (g *Group) endDoomed(ctx context.Context) {
	for clock.Sleep(ctx, g.Clock, doomedInterval) == nil {
		s := g.Tracker.Snapshot()
		for _, m := range s.Members {
			if doomed(s, m) {
				g.running.interrupt(m.Address)
			}
		}
	}
}

func doomed(s *group.Snapshot, m group.MemberView) bool {
	return !m.Failing.IsZero() && s.Primary != "" && m.Address != s.Primary
}
