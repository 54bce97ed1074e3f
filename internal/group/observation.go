package group

import (
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// StatementObservation is what the answer to a caller's statement reveals about a member. It costs no
// extra query, so a member whose answers include it is not polled while it serves
// statements.
type StatementObservation struct {
	// LogEnd is the end of the member's log.
	LogEnd logpos.TermPosition
	// Committed is set if the member committed a write of the statement, which only a
	// primary does; Log is then a position in the primary's term.
	Committed bool
}

// RecordAnswer implements Tracker.
func (w *Watcher) RecordAnswer(address string, t Ticket, o StatementObservation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.findPoller(address)
	if p == nil {
		return
	}
	p.answeredStatementAt = t.at
	p.recordRecovery()
	if o.Committed {
		w.advanceTerm(o.LogEnd.Term)
	}
	if o.LogEnd.Term != w.term {
		return
	}
	switch {
	case o.Committed:
		p.ledTerm = max(p.ledTerm, o.LogEnd.Term)
		w.primaryPosition = max(w.primaryPosition, o.LogEnd.Position)
		w.samples.add(p.index, t, o.LogEnd)
	case address != w.primary && p.ledTerm != w.term:
		w.recordReplicaPosition(p, t, o.LogEnd)
	}
}

// recordReplicaPosition records a lower bound on a replica's log. A log that holds a commit
// of the term proves that the commit came before any fencing of the replica, but not that
// the replica has not been fenced since, so only waiters for a commit count it.
func (w *Watcher) recordReplicaPosition(p *poller, t Ticket, log logpos.TermPosition) {
	if t.number > p.newestTicket && attached(p.view.Status, w.term) {
		p.attachedAt = t.at
		p.view.Status.LastRecord = log
	}
	if log.Position > p.highestPosition {
		p.highestPosition, p.stalledAt = log.Position, time.Time{}
	}
	w.samples.markHeld(p.index, t, log.Position)
	w.updateFreshness()
	w.countLogPosition(p, log)
}
