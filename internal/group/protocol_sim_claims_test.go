package group

import (
	"github.com/topazrock/topazrock/internal/logpos"
)

// simClaim is one claim and the member that it selected.
type simClaim struct {
	by     *simInstance
	view   *Snapshot
	term   logpos.Term
	fenced map[*simMember]logpos.TermPosition
	target *simMember
	ended  bool
}

// beginClaim claims the next term. The platform grants a term to one claim at a time, and
// the next term only after the time limit of the last claim and of its orders has passed.
func (x *sim) beginClaim(i *simInstance) {
	s := i.w.Snapshot()
	if s.LedTerm == 0 || s.LedTerm < x.term || x.claim != nil && !x.claim.ended {
		return
	}
	if len(x.promotionOrders) > 0 && x.fault != faultLateOrder {
		return
	}
	x.claim = &simClaim{by: i, view: s, term: s.LedTerm + 1, fenced: make(map[*simMember]logpos.TermPosition)}
	x.logStep("%s claims term %d", i.name, x.claim.term)
}

// fence holds a replica for the claimed term, or makes a primary step down.
func (x *sim) fence(m *simMember) {
	c := x.claim
	if c == nil || c.ended || c.target != nil || !m.up {
		return
	}
	if _, listed := c.view.FindMember(m.address); !listed || m.term >= c.term {
		return
	}
	switch {
	case x.fault == faultUnfenced:
	case m.isPrimary:
		m.isPrimary, m.source = false, nil
		if c.term > m.term+1 && x.fault != faultOldPrimaryNotHeld {
			m.heldFor = c.term
		}
	default:
		m.heldFor = c.term
	}
	c.fenced[m] = m.mark()
	x.logStep("%s is fenced for term %d, log %d", m.address, c.term, len(m.log))
}

// orderPromotion orders the promotion of the fenced member with the longest log.
func (x *sim) orderPromotion() {
	c := x.claim
	if c == nil || c.ended || c.target != nil || len(c.fenced) == 0 {
		return
	}
	isFenced := func(m MemberView) bool {
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
	if !view.IsQuorum(isFenced) && !(x.fault == faultFenceTooSmall && len(c.fenced) > 0) {
		return
	}
	for m, log := range c.fenced {
		if c.target == nil || c.fenced[c.target].Less(log) || c.fenced[c.target] == log && m.address < c.target.address {
			c.target = m
		}
	}
	x.promotionOrders = append(x.promotionOrders, c.target)
	x.logStep("promotion of %s is ordered, %d fenced", c.target.address, len(c.fenced))
}

// withoutLeaving returns the view without the members that leave.
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

// promote executes a random promotion order.
func (x *sim) promote() {
	if len(x.promotionOrders) == 0 {
		return
	}
	k := x.rand.IntN(len(x.promotionOrders))
	m := x.promotionOrders[k]
	x.promotionOrders = append(x.promotionOrders[:k], x.promotionOrders[k+1:]...)
	if x.claim != nil && x.claim.target == m {
		x.claim.ended = true
	}
	if m.removed {
		return
	}
	if !m.up || m == x.primary {
		return
	}
	x.term++
	x.primary = m
	m.isPrimary, m.source, m.term, m.heldFor = true, nil, x.term, 0
	x.logStep("%s becomes primary in term %d with %d records", m.address, x.term, len(m.log))
	for _, w := range x.writes {
		if w.confirmed && !hasEntry(m, w.entry) {
			x.fail("write %d was confirmed and %s does not have it", w.entry.number, m.address)
		}
	}
}

// expireClaim ends a claim whose time limit has passed, together with its orders. Members
// remain held until a promotion.
func (x *sim) expireClaim() {
	if x.claim == nil || x.claim.ended {
		return
	}
	x.claim.ended = true
	if x.fault != faultLateOrder {
		x.promotionOrders = nil
	}
	x.logStep("the claim expires")
}
