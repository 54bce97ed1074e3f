package group

import (
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// Observe takes in a member's report. The ticket was taken before the question
// was sent; other parts that talk to a member hand their reports in as well.
func (w *Watcher) Observe(address string, t Ticket, s member.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.find(address)
	if f == nil {
		return
	}
	w.raise(s.Entered)
	f.recovered()
	s = f.without(s)
	// Two connections may deliver out of order; the older report still counts
	// for waiters below, but must not take the view back.
	if t.number > f.newest {
		f.newest = t.number
		f.adopt(t, s)
		w.lead(f)
		w.advance(f, t, s)
	}
	w.sample(f, t, s)
	w.count(f, t, s)
	if !w.unsettled() {
		w.searchingSince = time.Time{}
	}
	w.publish()
}

// without takes what proves nothing out of a report. A member that led a term holds its
// own writes, whoever else has them; one that steps down before it hears of a later term
// reports itself attached in the one that it led.
func (f *follower) without(s member.Status) member.Status {
	switch {
	case s.Role == member.RolePrimary:
		f.led = max(f.led, s.Entered)
	case s.Attached != 0 && s.Attached == f.led:
		s.Attached = 0
	}
	return s
}

// raise moves on to a higher term. All that was waiting in the old one fails,
// for its primary is replaced or about to be.
func (w *Watcher) raise(term logpos.Term) {
	if term <= w.term {
		return
	}
	w.log.Info("Term rose.", "group", w.group, "from", w.term, "to", term)
	w.metrics.changes.WithLabelValues(w.group).Inc()
	w.samples.reset(w.enough)
	w.term, w.primary, w.termStart = term, "", 0
	w.head = 0
	// A claim is under way: its end is near.
	w.searchingSince = time.Time{}
	w.lastFloor = sample{}
	for _, f := range w.followers {
		f.attachedAt, f.stalledAt, f.reached = time.Time{}, time.Time{}, 0
		f.wake()
	}
	w.failOlder(term)
	w.notify()
}

// lead sets or clears the primary by the newest report of f. Only a member that
// leads in the highest term known is the primary, never one of an older term.
func (w *Watcher) lead(f *follower) {
	s := f.view.Status
	if s.Role == member.RolePrimary {
		w.led = max(w.led, s.Entered)
	}
	leads := s.Role == member.RolePrimary && s.Entered == w.term && w.term != 0
	switch {
	case leads && w.primary == "":
		w.log.Info("Primary found.", "group", w.group, "term", w.term, "member", f.view.Address)
		w.primary, w.termStart = f.view.Address, s.TermStart
		w.notify()
	case !leads && w.primary == f.view.Address:
		w.primary = ""
		w.notify()
	}
}

// sample keeps a report of the primary, or marks the samples that a replica's
// report proves.
func (w *Watcher) sample(f *follower, t Ticket, s member.Status) {
	if s.Entered != w.term {
		return
	}
	if s.Role == member.RolePrimary {
		w.samples.add(f.index, t, s.Last)
		return
	}
	if attached(s, w.term) {
		w.samples.hold(f.index, t, s.Last.Position)
		w.prove()
	}
}

// prove moves every replica's fresh-as-of time to its newest confirmed sample.
func (w *Watcher) prove() {
	for _, f := range w.followers {
		if f.view.Address == w.primary {
			continue
		}
		at, position, ok := w.samples.newest(f.index, w.enough)
		if ok && at.After(f.view.FreshAsOf) {
			f.view.FreshAsOf, f.provenBy = at, position
		}
	}
}

// attached reports whether s is of a replica whose log is a prefix of its
// primary's log in term.
func attached(s member.Status, term logpos.Term) bool {
	return s.Role == member.RoleReplica && s.Entered == term && s.Attached == term
}

// publish makes the present state the snapshot.
func (w *Watcher) publish() {
	s := &Snapshot{
		Group:        w.group,
		Term:         w.term,
		Led:          w.led,
		Primary:      w.primary,
		TermStart:    w.termStart,
		ConfirmedAt:  w.confirmedAt(),
		StalledSince: w.stalledSince(),
		Members:      make([]MemberView, len(w.followers)),
		Size:         w.quorum.size,
	}
	for i, f := range w.followers {
		s.Members[i] = f.view
	}
	w.snapshot.Store(s)
	w.logStall(s.StalledSince)
}

// confirmedAt is the newest moment by which enough replicas for a confirmation
// have been asked and answered in the term.
func (w *Watcher) confirmedAt() time.Time {
	if w.quorum.replicas() == 0 {
		if f := w.find(w.primary); f != nil {
			return f.view.SeenAt
		}
		return time.Time{}
	}
	times := make([]time.Time, 0, len(w.followers))
	for _, f := range w.followers {
		times = append(times, f.attachedAt)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	for _, t := range times {
		if w.confirmedBy(w.attachedSince(t)) {
			return t
		}
	}
	return time.Time{}
}

// attachedSince returns the replicas that were attached when they were asked at t
// or later.
func (w *Watcher) attachedSince(t time.Time) uint64 {
	var set uint64
	for _, f := range w.followers {
		if !f.attachedAt.IsZero() && !f.attachedAt.Before(t) {
			set |= f.bit()
		}
	}
	return set
}
