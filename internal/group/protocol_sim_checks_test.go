package group

import (
	"github.com/topazrock/topazrock/internal/logpos"
)

// simWrite is a write and the waiter for its confirmation.
type simWrite struct {
	entry     entry
	at        *simMember
	waiter    *waiter
	confirmed bool
}

// simCheck is a read at the primary that must be fresh: the primary's answer and a
// concurrent verification.
type simCheck struct {
	primary *simMember
	term    logpos.Term
	// current is set if the primary had not been replaced when the check began.
	current bool
	// answered is set once the primary has answered the read, and answeredAsPrimary is set
	// if it was primary of the term at that time.
	answered, answeredAsPrimary bool
	waiter                      *waiter
}

// commitWrite writes at a member that considers itself the primary.
func (x *sim) commitWrite(i *simInstance, m *simMember) {
	if !m.up || !m.isPrimary || i.w.findPoller(m.address) == nil || len(m.log) > 12 {
		return
	}
	x.lastEntryNumber++
	e := entry{m.term, x.lastEntryNumber}
	m.log = append(m.log, e)
	w := &simWrite{entry: e, at: m}
	x.writes = append(x.writes, w)
	i.reports = append(i.reports, simReport{address: m.address, ticket: i.w.NewTicket(), observation: &StatementObservation{LogEnd: m.mark(), Committed: true}, write: w})
	x.logStep("%s commits %d at %s, term %d", i.name, e.number, m.address, m.term)
	if x.rand.IntN(2) == 0 {
		x.deliverReport(i, len(i.reports)-1)
	}
}

// beginVerification starts to verify that the primary known to an instance is not
// replaced.
func (x *sim) beginVerification(i *simInstance) {
	v, err := i.w.Verify()
	if err != nil {
		return
	}
	for _, m := range x.members {
		if m.address == i.w.Snapshot().Primary {
			x.checks = append(x.checks, &simCheck{primary: m, term: v.Term, current: x.primary == m, waiter: v.waiter})
			x.logStep("%s verifies %s", i.name, m.address)
		}
	}
}

// answerCheck makes the primary of a random check answer.
func (x *sim) answerCheck() {
	if len(x.checks) == 0 {
		return
	}
	c := x.checks[x.rand.IntN(len(x.checks))]
	if c.answered || !c.primary.up {
		return
	}
	c.answered, c.answeredAsPrimary = true, c.primary.isPrimary && c.primary.term == c.term || x.fault == faultRoleNotChecked
	x.logStep("%s answers a fresh read", c.primary.address)
}

// checkConfirmed checks what the step has confirmed and verified.
func (x *sim) checkConfirmed() {
	for _, w := range x.writes {
		if w.confirmed || w.waiter == nil || !waiterEnded(w.waiter) || w.waiter.err != nil {
			continue
		}
		w.confirmed = true
		x.logStep("write %d is confirmed", w.entry.number)
		// A write that a replaced primary accepted is confirmed only if a later primary
		// has it.
		if !hasEntry(x.primary, w.entry) {
			x.fail("write %d of %s is confirmed and the primary %s does not have it", w.entry.number, w.at.address, x.primary.address)
		}
	}
	for _, c := range x.checks {
		if c.answeredAsPrimary && waiterEnded(c.waiter) && c.waiter.err == nil && !c.current {
			x.fail("%s was verified after it had been replaced", c.primary.address)
		}
	}
}

func waiterEnded(w *waiter) bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}
