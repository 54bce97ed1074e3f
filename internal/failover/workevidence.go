package failover

import (
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/memberhealth"
)

// workEvidence is what this instance holds against the work of one incarnation of a primary in one
// term.
type workEvidence struct {
	member string
	term   logpos.Term
	work   memberhealth.Work
	// since is when the primary began to fail its work; zero if it does not fail it in this term.
	since time.Time
}

// failing reports whether the primary fails its work.
func (e workEvidence) failing() bool { return !e.since.IsZero() }

// workWatch follows the work of a group's primary as this instance sees it. It does no I/O.
type workWatch struct {
	view    memberhealth.WorkView
	enabled func() bool
	// term is the group's term and termSince is when this instance first saw it.
	term      logpos.Term
	termSince time.Time
	// member and incarnation are the primary, and failingMostSince is when it was first seen to
	// fail nearly all statements; zero while it does not.
	member           string
	incarnation      int64
	failingMostSince time.Time
	// implausible is set while the view returns values that cannot be observations.
	implausible bool
}

// inUse reports whether a primary is replaced for failing its work.
func (w *workWatch) inUse() bool { return w.view != nil && w.enabled != nil && w.enabled() }

// observe updates the watch. It returns true once when values that cannot be observations begin.
func (w *workWatch) observe(now time.Time, s *group.Snapshot) (implausibleBegins bool) {
	if w.term != s.Term {
		w.term, w.termSince, w.failingMostSince = s.Term, now, time.Time{}
	}
	if s.Primary == "" || !w.inUse() {
		w.failingMostSince = time.Time{}
		return false
	}
	work := w.view.Work(s.Primary)
	if w.member != s.Primary || w.incarnation != work.Incarnation {
		w.member, w.incarnation, w.failingMostSince = s.Primary, work.Incarnation, time.Time{}
	}
	implausible := !plausibleWork(now, work)
	implausibleBegins = implausible && !w.implausible
	w.implausible = implausible
	switch {
	case implausible || !failsMost(work):
		w.failingMostSince = time.Time{}
	case w.failingMostSince.IsZero():
		w.failingMostSince = now
	}
	return implausibleBegins
}

// evidence returns what is held against the primary now. Statements that were sent before this
// instance saw the term prove nothing about the primary of the term.
func (w *workWatch) evidence(now time.Time, s *group.Snapshot) workEvidence {
	e := workEvidence{member: s.Primary, term: s.Term}
	if s.Primary == "" || s.Term != w.term || !w.inUse() {
		return e
	}
	e.work = w.view.Work(s.Primary)
	if s.Primary != w.member || e.work.Incarnation != w.incarnation || !plausibleWork(now, e.work) {
		return e
	}
	switch {
	case failsAll(e.work) && !e.work.FailingSince.Before(w.termSince):
		e.since = e.work.FailingSince
	case failsMost(e.work):
		e.since = w.failingMostSince
	}
	return e
}
