package memberchoice

import (
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/memberhealth"
	"github.com/topazrock/topazrock/internal/routing"
)

// chooseByHealth chooses by the outcome of earlier statements: replicas that are known to lack the
// read's position are left out, members that are not healthy come last, and one that is due for a
// trial gets a read that can be repeated. c.mu must be held, so that a trial is taken once.
func (c *Chooser) chooseByHealth(read Read, r routing.Read) (group.MemberView, bool) {
	s := c.Tracker.Snapshot()
	r.Lagging = nil
	r.Load = func(address string) int { return c.loadByHealth(address, read) }
	if primaryAnswers(s) {
		// Without a primary, replicas are all there is, and they may catch up while a read waits.
		r.Lacks = func(address string) bool { return c.Positions.Lacks(address, read.Mark) }
	}
	m, ok := routing.ChooseMember(s, r, c.Random)
	if !ok {
		return m, false
	}
	if read.Repeatable && c.Health.TrialDue(m.Address) {
		c.Health.TakeTrial(m.Address)
	}
	if m.Address != s.Primary {
		c.Positions.RecordTried(m.Address, read.Mark)
	}
	return m, true
}

// primaryAnswers reports whether the group has a primary that answers its probes.
func primaryAnswers(s *group.Snapshot) bool {
	m, ok := s.FindMember(s.Primary)
	return ok && m.FailingSince.IsZero()
}

// trialLoad is added to the load of a member that is due for a trial, so that it is preferred.
const trialLoad = -unavailableLoad

// loadByHealth is memberLoad by the outcome of all statements.
func (c *Chooser) loadByHealth(address string, read Read) int {
	load := c.Running(address) + c.Waiting(address)
	full := c.Full(address, read.Owner)
	switch {
	case full:
		return load + unavailableLoad
	case c.Health.State(address) == memberhealth.Healthy:
		return load
	case read.Repeatable && c.Health.TrialDue(address):
		return load + trialLoad
	default:
		return load + unavailableLoad
	}
}
