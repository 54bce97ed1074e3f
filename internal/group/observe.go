package group

import (
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// RecordReport records a member's report. The ticket was taken before the query was sent. Other
// components that query a member pass their reports in as well.
func (w *Watcher) RecordReport(address string, t Ticket, s member.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.findPoller(address)
	if p == nil {
		return
	}
	w.advanceTerm(s.EnteredTerm)
	p.recordRecovery()
	s = p.withoutSelfAttachment(s)
	// Reports from two connections may arrive out of order. An older report still counts
	// for the waiters below, but must not replace a newer one in the view.
	if t.number > p.newestTicket {
		p.newestTicket = t.number
		p.setStatus(t, s)
		w.updatePrimary(p)
		w.trackProgress(p, t, s)
	}
	w.recordSample(p, t, s)
	w.countReport(p, t, s)
	if !w.writesImpossible() {
		w.searchingSince = time.Time{}
	}
	w.publishSnapshot()
}

// withoutSelfAttachment clears an attachment that proves nothing. A member that was
// primary in a term holds its own writes regardless of whether any other member does, and
// after stepping down, before it learns of a later term, it reports itself attached in the
// term that it led.
func (p *poller) withoutSelfAttachment(s member.Status) member.Status {
	switch {
	case s.Role == member.RolePrimary:
		p.ledTerm = max(p.ledTerm, s.EnteredTerm)
	case s.AttachedTerm != 0 && s.AttachedTerm == p.ledTerm:
		s.AttachedTerm = 0
	}
	return s
}

// advanceTerm records a higher term. Waiters of older terms fail, because their primary is
// replaced or about to be.
func (w *Watcher) advanceTerm(term logpos.Term) {
	if term <= w.term {
		return
	}
	w.log.Info("The group's term increased.", "group", w.group, "from", w.term, "to", term)
	w.metrics.termChanges.WithLabelValues(w.group).Inc()
	w.samples.startTerm(w.isQuorum)
	w.term, w.primary, w.termStart = term, "", 0
	w.primaryPosition = 0
	// A promotion is in progress and will end soon.
	w.searchingSince = time.Time{}
	w.lastFloor = sample{}
	for _, p := range w.pollers {
		p.attachedAt, p.stalledAt, p.highestPosition = time.Time{}, time.Time{}, 0
		p.wake()
	}
	w.failOlderTerms(term)
	w.signalChange()
}

// updatePrimary sets or clears the primary according to the newest report of p's member.
// Only a member that reports itself primary in the highest known term is the primary.
func (w *Watcher) updatePrimary(p *poller) {
	s := p.view.Status
	if s.Role == member.RolePrimary {
		w.ledTerm = max(w.ledTerm, s.EnteredTerm)
	}
	isPrimary := s.Role == member.RolePrimary && s.EnteredTerm == w.term && w.term != 0
	switch {
	case isPrimary && w.primary == "":
		w.log.Info("Primary found.", "group", w.group, "term", w.term, "member", p.view.Address)
		w.primary, w.termStart = p.view.Address, s.TermStart
		w.signalChange()
	case !isPrimary && w.primary == p.view.Address:
		w.primary = ""
		w.signalChange()
	}
}

// recordSample adds a report of the primary as a sample, or marks the samples that a
// replica's report proves.
func (w *Watcher) recordSample(p *poller, t Ticket, s member.Status) {
	if s.EnteredTerm != w.term {
		return
	}
	if s.Role == member.RolePrimary {
		w.samples.add(p.index, t, s.LastRecord)
		return
	}
	if attached(s, w.term) {
		w.samples.markHeld(p.index, t, s.LastRecord.Position)
		w.updateFreshness()
	}
}

// updateFreshness sets each replica's FreshAsOf to its newest confirmed sample.
func (w *Watcher) updateFreshness() {
	for _, p := range w.pollers {
		if p.view.Address == w.primary {
			continue
		}
		at, position, ok := w.samples.newestHeldBy(p.index, w.isQuorum)
		if ok && at.After(p.view.FreshAsOf) {
			p.view.FreshAsOf, p.freshPosition = at, position
		}
	}
}

// attached reports whether s is from a replica whose log is a prefix of its primary's log
// in term.
func attached(s member.Status, term logpos.Term) bool {
	return s.Role == member.RoleReplica && s.EnteredTerm == term && s.AttachedTerm == term
}

// publishSnapshot stores the current state as the snapshot.
func (w *Watcher) publishSnapshot() {
	s := &Snapshot{
		Group:            w.group,
		Term:             w.term,
		LedTerm:          w.ledTerm,
		Primary:          w.primary,
		TermStart:        w.termStart,
		QuorumAttachedAt: w.confirmedAt(),
		StalledSince:     w.stalledSince(),
		Members:          make([]MemberView, len(w.pollers)),
		Size:             w.quorum.size,
	}
	for i, p := range w.pollers {
		s.Members[i] = p.view
	}
	w.snapshot.Store(s)
	w.logStall(s.StalledSince)
}

// confirmedAt is the latest time for which enough replicas for a confirmation, when queried
// at that time or later, reported themselves attached in the term.
func (w *Watcher) confirmedAt() time.Time {
	if w.quorum.requiredReplicas() == 0 {
		if p := w.findPoller(w.primary); p != nil {
			return p.view.ReportedAt
		}
		return time.Time{}
	}
	times := make([]time.Time, 0, len(w.pollers))
	for _, p := range w.pollers {
		times = append(times, p.attachedAt)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	for _, t := range times {
		if w.confirmedBy(w.attachedSince(t)) {
			return t
		}
	}
	return time.Time{}
}

// attachedSince returns the replicas whose newest attached report was requested at t or
// later.
func (w *Watcher) attachedSince(t time.Time) uint64 {
	var set uint64
	for _, p := range w.pollers {
		if !p.attachedAt.IsZero() && !p.attachedAt.Before(t) {
			set |= p.bit()
		}
	}
	return set
}
