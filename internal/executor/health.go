package executor

import (
	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/memberhealth"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

// beginStatement records that the exchange's unit is sent to its member. It returns nil if the
// health of members is not in use.
func (g *Group) beginStatement(p plan, x *exchange) *memberhealth.Statement {
	s := g.Health.Begin(x.conn.Address(), p.class)
	if s != nil {
		g.runningUnits.addStatement(x.Unit.ID, s, p.read && g.repeatable(x.Unit))
	}
	return s
}

// repeatable reports whether a unit may be sent to another member before the first has answered: a
// read outside transactions whose answer is passed on as a whole.
func (g *Group) repeatable(u *execution.Unit) bool {
	return g.Wire.BuffersResponses && u.ReadOnly && !u.BeginsTransaction && u.Transaction == ""
}

// recordOutcome records what the end of an exchange shows of its member.
func (g *Group) recordOutcome(s *memberhealth.Statement, x *exchange, err error) {
	if s == nil {
		return
	}
	_, notSent := result.As(err)
	switch {
	case notSent:
		s.Refused()
	case err != nil && (x.endedEarly || isTimeout(err)):
		s.TimedOut()
	case err != nil:
		s.Broken()
	default:
		recordAnswer(s, x)
		g.recordPosition(x)
	}
}

// recordAnswer records what a member's answer shows of its health. An error that is the statement's
// own is an answer like any other.
func recordAnswer(s *memberhealth.Statement, x *exchange) {
	switch {
	case x.refused():
		s.Refused()
	case x.Failure != nil && x.Failure.Kind == wire.FailureAtMember:
		s.Failed()
	default:
		s.Served()
	}
}

// recordPosition records what a member's answer shows of its log.
func (g *Group) recordPosition(x *exchange) {
	address := x.conn.Address()
	if x.LogPosition != (logpos.TermPosition{}) {
		g.positions.RecordHeld(address, x.LogPosition)
	}
	switch {
	case x.Failure == nil && x.Required != (logpos.TermPosition{}):
		g.positions.RecordHeld(address, x.Required)
	case x.Failure != nil && x.Failure.Kind == wire.FailureLagging:
		g.positions.RecordLacked(address, x.Required)
	}
}

// markUnanswered excludes the time of a statement that was not answered from the service times by
// which admission estimates waits. It is the length of a timeout, not of any work.
func (g *Group) markUnanswered(slot *admission.Slot, err error) {
	if err != nil && isTimeout(err) && g.Health.Enabled() {
		slot.MarkUnanswered()
	}
}

// endSilentReads ends reads that a member is not expected to answer, as many as the retry budget
// allows to send again. Other units wait for their answer: a write may still be served.
func (g *Group) endSilentReads() {
	statements := g.Health.CheckSilence()
	if len(statements) == 0 {
		return
	}
	if n := g.runningUnits.endEarly(statements, g.Budget.Available()); n > 0 {
		g.Health.CountEndedEarly(n)
	}
}

// avoidsPrimary reports whether a read that needs the primary is better served elsewhere, because
// the primary is ejected. Single reads still go there while it is on probation.
func (g *Group) avoidsPrimary(u *execution.Unit, p plan) bool {
	if !g.Health.Enabled() || !g.repeatable(u) || !g.mayReadElsewhere(u, p, errPrimaryEjected) {
		return false
	}
	primary := g.Tracker.Snapshot().Primary
	if primary == "" || g.Health.State(primary) == memberhealth.Healthy {
		return false
	}
	if g.Health.TrialDue(primary) {
		g.Health.TakeTrial(primary)
		return false
	}
	return true
}

// errPrimaryEjected is the reason for reading elsewhere.
var errPrimaryEjected = result.New(result.NoPrimary, "the primary is ejected")
