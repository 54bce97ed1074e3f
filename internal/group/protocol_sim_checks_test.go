package group

import (
	"github.com/topazrock/topazrock/internal/logpos"
)

// simWrite is a write and whoever waits for its confirmation.
type simWrite struct {
	entry     entry
	at        *simMember
	waiter    *waiter
	confirmed bool
}

// simCheck is a read at the primary that must be fresh: the primary's own report, and
// a verification beside it.
type simCheck struct {
	primary *simMember
	term    logpos.Term
	// current says that the primary had not been replaced when the check began.
	current bool
	// asked says that the primary has answered, and leads that it leads the term.
	asked, leads bool
	waiter       *waiter
}

// commit writes at a member that takes itself for the primary.
func (x *sim) commit(i *simInstance, m *simMember) {
	if !m.up || !m.primary || i.w.find(m.address) == nil || len(m.log) > 12 {
		return
	}
	x.number++
	e := entry{m.term, x.number}
	m.log = append(m.log, e)
	w := &simWrite{entry: e, at: m}
	x.writes = append(x.writes, w)
	i.reports = append(i.reports, simReport{address: m.address, ticket: i.w.Ask(), observation: &Observation{Log: m.mark(), Committed: true}, write: w})
	x.say("%s commits %d at %s, term %d", i.name, e.number, m.address, m.term)
	if x.rand.IntN(2) == 0 {
		x.deliver(i, len(i.reports)-1)
	}
}

// verify begins the proof that the primary an instance knows is not replaced.
func (x *sim) verify(i *simInstance) {
	v, err := i.w.Verify()
	if err != nil {
		return
	}
	for _, m := range x.members {
		if m.address == i.w.Snapshot().Primary {
			x.checks = append(x.checks, &simCheck{primary: m, term: v.Term, current: x.leader == m, waiter: v.x})
			x.say("%s verifies %s", i.name, m.address)
		}
	}
}

// read lets the primary of a check answer.
func (x *sim) read() {
	if len(x.checks) == 0 {
		return
	}
	c := x.checks[x.rand.IntN(len(x.checks))]
	if c.asked || !c.primary.up {
		return
	}
	c.asked, c.leads = true, c.primary.primary && c.primary.term == c.term || x.fault == faultRoleUnasked
	x.say("%s answers a fresh read", c.primary.address)
}

// check looks at what the step has confirmed.
func (x *sim) check() {
	for _, w := range x.writes {
		if w.confirmed || w.waiter == nil || !ended(w.waiter) || w.waiter.err != nil {
			continue
		}
		w.confirmed = true
		x.say("write %d is confirmed", w.entry.number)
		// A write that a replaced primary took is confirmed only where a later primary
		// has taken it over.
		if !holds(x.leader, w.entry) {
			x.fail("write %d of %s is confirmed and %s, which leads, does not have it", w.entry.number, w.at.address, x.leader.address)
		}
	}
	for _, c := range x.checks {
		if c.leads && ended(c.waiter) && c.waiter.err == nil && !c.current {
			x.fail("%s was verified after it had been replaced", c.primary.address)
		}
	}
}

func ended(w *waiter) bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}
