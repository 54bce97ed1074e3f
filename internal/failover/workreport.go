package failover

import (
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/memberhealth"
)

// WorkReport is what one instance has seen of the statements that it sent to a group's primary. It
// holds ages and no times, so that clocks of different instances are never compared.
type WorkReport struct {
	// Member, Incarnation and Term name the primary that the report is about.
	Member      string      `json:"member"`
	Incarnation int64       `json:"incarnation,omitempty"`
	Term        logpos.Term `json:"term"`
	State       WorkState   `json:"state,omitempty"`
	// FailingForMs is how long all statements have been failing, in milliseconds; zero if some
	// were served.
	FailingForMs int64 `json:"failing_for_ms,omitempty"`
	// ServedAgoMs is how long ago the newest statement that was served was sent, in milliseconds.
	ServedAgoMs int64 `json:"served_ago_ms,omitempty"`
}

// reportWork returns the report of an instance about the primary in its snapshot.
func reportWork(now time.Time, s *group.Snapshot, view memberhealth.WorkView) *WorkReport {
	if s.Primary == "" {
		return nil
	}
	w := view.Work(s.Primary)
	r := &WorkReport{Member: s.Primary, Incarnation: w.Incarnation, Term: s.Term, State: workState(now, w)}
	if r.State == WorkUnknown {
		return r
	}
	if failsAll(w) {
		r.FailingForMs = now.Sub(w.FailingSince).Milliseconds()
	}
	if !w.LastServedAt.IsZero() {
		r.ServedAgoMs = now.Sub(w.LastServedAt).Milliseconds()
	}
	return r
}

// Reasons for which a report of a witness counts as unknown.
const (
	ignoredMissing     = "missing"
	ignoredMember      = "other_member"
	ignoredIncarnation = "other_incarnation"
	ignoredTerm        = "other_term"
	ignoredState       = "unknown_state"
	ignoredAge         = "age"
	// ignoredImplausible: values of this instance that cannot be observations.
	ignoredImplausible = "implausible"
)

// termSeenSkew is how much later than another instance this one may have seen the term. A witness
// that saw it earlier may hold statements against the primary that are older here than the term.
const termSeenSkew = idleInterval

// judgeReport returns the state that a witness's report proves about the primary of the evidence,
// and the reason if it proves nothing because it is not about that primary. Statements served
// before those held against the primary were sent do not contradict them.
func judgeReport(now time.Time, e workEvidence, termSince time.Time, r *WorkReport) (state WorkState, ignored string) {
	switch {
	case r == nil:
		return WorkUnknown, ignoredMissing
	case r.Member != e.member:
		return WorkUnknown, ignoredMember
	case r.Incarnation != e.work.Incarnation:
		return WorkUnknown, ignoredIncarnation
	case r.Term != e.term:
		return WorkUnknown, ignoredTerm
	case r.FailingForMs < 0 || r.ServedAgoMs < 0:
		return WorkUnknown, ignoredAge
	}
	switch r.State {
	case WorkFailing:
		if r.FailingForMs > (now.Sub(termSince) + termSeenSkew).Milliseconds() {
			return WorkUnknown, ignoredAge
		}
		return WorkFailing, ""
	case WorkServing:
		if r.ServedAgoMs > now.Sub(e.since).Milliseconds() {
			return WorkUnknown, ""
		}
		return WorkServing, ""
	case WorkUnknown:
		return WorkUnknown, ""
	default:
		return WorkUnknown, ignoredState
	}
}
