package group

import (
	"github.com/topazrock/topazrock/internal/logpos"
)

// simClaim is one claim and the member that it chose.
type simClaim struct {
	by     *simInstance
	view   *Snapshot
	term   logpos.Term
	fenced map[*simMember]logpos.Mark
	target *simMember
	over   bool
}

// begin claims the next term. The store gives it to one claim at a time, and the
// next is given when the time of the last, and of its orders, is over.
func (x *sim) begin(i *simInstance) {
	s := i.w.Snapshot()
	if s.Led == 0 || s.Led < x.term || x.claim != nil && !x.claim.over {
		return
	}
	if len(x.orders) > 0 && x.fault != faultLateOrder {
		return
	}
	x.claim = &simClaim{by: i, view: s, term: s.Led + 1, fenced: make(map[*simMember]logpos.Mark)}
	x.say("%s claims term %d", i.name, x.claim.term)
}

// fence holds a replica for the claimed term, or has a primary step down.
func (x *sim) fence(m *simMember) {
	c := x.claim
	if c == nil || c.over || c.target != nil || !m.up {
		return
	}
	if _, listed := c.view.Find(m.address); !listed || m.term >= c.term {
		return
	}
	switch {
	case x.fault == faultUnfenced:
	case m.primary:
		m.primary, m.source = false, nil
		if c.term > m.term+1 && x.fault != faultStaleNotHeld {
			m.held = c.term
		}
	default:
		m.held = c.term
	}
	c.fenced[m] = m.mark()
	x.say("%s is fenced for term %d, log %d", m.address, c.term, len(m.log))
}

// choose orders the promotion of the fenced member with the longest log.
func (x *sim) choose() {
	c := x.claim
	if c == nil || c.over || c.target != nil || len(c.fenced) == 0 {
		return
	}
	need := func(m MemberView) bool {
		for f := range c.fenced {
			if f.address == m.Address {
				return true
			}
		}
		return false
	}
	view := *c.view
	if x.fault == faultLeavingIgnored {
		view = withoutLeaving(view)
	}
	if !view.Enough(need) && !(x.fault == faultSmallFence && len(c.fenced) > 0) {
		return
	}
	for m, log := range c.fenced {
		if c.target == nil || c.fenced[c.target].Less(log) || c.fenced[c.target] == log && m.address < c.target.address {
			c.target = m
		}
	}
	x.orders = append(x.orders, c.target)
	x.say("%s is to lead, of %d fenced", c.target.address, len(c.fenced))
}

// withoutLeaving is a view that does not count members that leave.
func withoutLeaving(s Snapshot) Snapshot {
	var kept []MemberView
	for _, m := range s.Members {
		if !m.Leaving {
			kept = append(kept, m)
		}
	}
	s.Members, s.Size = kept, len(kept)
	return s
}

// appoint carries out an order.
func (x *sim) appoint() {
	if len(x.orders) == 0 {
		return
	}
	k := x.rand.IntN(len(x.orders))
	m := x.orders[k]
	x.orders = append(x.orders[:k], x.orders[k+1:]...)
	if x.claim != nil && x.claim.target == m {
		x.claim.over = true
	}
	if m.gone {
		return
	}
	if !m.up || m == x.leader {
		return
	}
	x.term++
	x.leader = m
	m.primary, m.source, m.term, m.held = true, nil, x.term, 0
	x.say("%s leads term %d with %d records", m.address, x.term, len(m.log))
	for _, w := range x.writes {
		if w.confirmed && !holds(m, w.entry) {
			x.fail("write %d was confirmed and %s does not have it", w.entry.number, m.address)
		}
	}
}

// abandon ends a claim whose time is over, and with it what it has ordered. Members
// stay held until a promotion.
func (x *sim) abandon() {
	if x.claim == nil || x.claim.over {
		return
	}
	x.claim.over = true
	if x.fault != faultLateOrder {
		x.orders = nil
	}
	x.say("the claim's time is over")
}
