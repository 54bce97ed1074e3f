package failover

import (
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/member"
)

// View gives a claimer the current state of its group. *group.Watcher implements it.
type View interface {
	Snapshot() *group.Snapshot
	// Changes returns a channel that is closed at the next change of the term, the
	// primary or its failure state.
	Changes() <-chan struct{}
	// NewTicket returns the ticket of a call that is about to be sent to a member. RecordReport
	// submits the status that the call returned, with that ticket.
	NewTicket() group.Ticket
	RecordReport(address string, t group.Ticket, s member.Status)
	// LastAnswerAt returns when the newest request that a member answered was sent,
	// statements included. Recheck requests a new report from the member.
	LastAnswerAt(address string) time.Time
	Recheck(address string)
}

// answering reports whether the member has reported and its last probe succeeded.
func answering(m group.MemberView) bool { return m.FailingSince.IsZero() && !m.ReportedAt.IsZero() }

// quorumReachable reports whether enough members answer for a promotion.
func quorumReachable(s *group.Snapshot) bool { return s.IsQuorum(answering) }
