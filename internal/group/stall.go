package group

import (
	"fmt"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/member"
)

// trackProgress records whether a replica makes progress. A replica that is not attached
// makes none, regardless of the length of its log.
func (w *Watcher) trackProgress(p *poller, t Ticket, s member.Status) {
	if s.EnteredTerm != w.term {
		return
	}
	if s.Role == member.RolePrimary {
		w.primaryPosition = max(w.primaryPosition, s.LastRecord.Position)
		return
	}
	progressed := s.LastRecord.Position > p.highestPosition || s.LastRecord.Position >= w.primaryPosition
	switch {
	case attached(s, w.term) && progressed:
		p.highestPosition, p.stalledAt = s.LastRecord.Position, time.Time{}
	case p.stalledAt.IsZero():
		p.stalledAt = t.at
		p.wake()
		if primary := w.findPoller(w.primary); primary != nil {
			primary.wake()
		}
	}
}

// stalledSince is when the number of replicas that make progress fell below what a
// confirmation needs; zero while there are enough or the number is unknown.
func (w *Watcher) stalledSince() time.Time {
	var progressing uint64
	var stalled []stalledReplica
	for _, p := range w.pollers {
		switch {
		case p.view.Address == w.primary:
		case !p.stalledAt.IsZero():
			stalled = append(stalled, stalledReplica{p.stalledAt, p.bit()})
		case !p.view.FailingSince.IsZero():
			// The member is unreachable; its last report does not show its current state.
			stalled = append(stalled, stalledReplica{p.view.FailingSince, p.bit()})
		case !p.attachedAt.IsZero():
			progressing |= p.bit()
		}
	}
	if w.primary == "" || w.confirmedBy(progressing) {
		return time.Time{}
	}
	slices.SortFunc(stalled, func(a, b stalledReplica) int { return b.since.Compare(a.since) })
	for _, r := range stalled {
		progressing |= r.bit
		if w.confirmedBy(progressing) {
			return r.since
		}
	}
	return time.Time{}
}

// stalledReplica is a replica that has made no progress since a given time.
type stalledReplica struct {
	since time.Time
	bit   uint64
}

// stallLogAfter is how long a stall lasts before it is logged, so that ordinary
// replication lag is not.
const stallLogAfter = 500 * time.Millisecond

// logStall logs a persistent stall once, with each member's last report, and its end.
func (w *Watcher) logStall(since time.Time) {
	switch {
	case since.IsZero() && w.stallLogged:
		w.stallLogged = false
		w.log.Info("Enough replicas make progress again.", "group", w.group, "term", w.term)
	case !since.IsZero() && !w.stallLogged && w.clock.Now().Sub(since) >= stallLogAfter:
		w.stallLogged = true
		w.log.Warn("Not enough replicas make progress.", "group", w.group, "term", w.term, "since", since, "members", w.describeMembers())
	}
}

// describeMembers formats the last report of each member.
func (w *Watcher) describeMembers() []string {
	descriptions := make([]string, 0, len(w.pollers))
	for _, p := range w.pollers {
		s := p.view.Status
		descriptions = append(descriptions, fmt.Sprintf("%s %s entered %d attached %d log %d.%d age %s failures %d",
			p.view.Address, s.Role, s.EnteredTerm, s.AttachedTerm, s.LastRecord.Term, s.LastRecord.Position, w.clock.Now().Sub(p.view.ReportedAt), p.view.Failures))
	}
	return descriptions
}
