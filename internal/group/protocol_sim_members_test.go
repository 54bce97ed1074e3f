package group

import (
	"fmt"

	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// entry is one record of a member's log.
type entry struct {
	term   logpos.Term
	number int
}

// simMember is a member that behaves as the line protocol specifies.
type simMember struct {
	address   string
	domain    string
	up        bool
	removed   bool
	leaving   bool
	isPrimary bool
	// term is the highest term that the member has learned of. heldFor is set while a
	// claim holds the member, that is, keeps it from receiving records: it is the claimed
	// term, and zero otherwise.
	term, heldFor logpos.Term
	log           []entry
	// source is the member that it receives records from; nil if it knows no primary of its term.
	source *simMember
}

// status is the member's report as the adapter decodes it.
func (m *simMember) status() member.Status {
	s := member.Status{EnteredTerm: m.term, LastRecord: m.mark(), AttachedTerm: m.term, Role: member.RoleReplica}
	switch {
	case m.isPrimary:
		s.Role = member.RolePrimary
	case m.heldFor > m.term:
		s.Role, s.EnteredTerm, s.AttachedTerm = member.RoleFenced, m.heldFor, 0
	}
	return s
}

// mark is the end of the log: the term of its last record and the number of records.
func (m *simMember) mark() logpos.TermPosition {
	if len(m.log) == 0 {
		return logpos.TermPosition{}
	}
	return logpos.TermPosition{Term: m.log[len(m.log)-1].term, Position: logpos.Position(len(m.log))}
}

func (x *sim) addMember(domain string) *simMember {
	m := &simMember{address: fmt.Sprintf("m%d", len(x.members)), domain: domain, up: true, term: x.term}
	x.members = append(x.members, m)
	return m
}

// listed returns the members that the platform currently lists.
func (x *sim) listed() []document.Member {
	var list []document.Member
	for _, m := range x.members {
		if !m.removed {
			list = append(list, document.Member{Address: m.address, FailureDomain: m.domain})
		}
	}
	return list
}

// replicate copies the primary's next record to a replica.
func (x *sim) replicate(m *simMember) {
	s := m.source
	if !m.up || m.isPrimary || m.heldFor > m.term || s == nil || !s.up || !s.isPrimary || s.term != m.term || len(m.log) >= len(s.log) {
		return
	}
	m.log = append(m.log, s.log[len(m.log)])
	x.logStep("%s receives %d from %s", m.address, m.log[len(m.log)-1].number, s.address)
}

// query sends a query, or a caller's read, to a member. The member answers immediately,
// and the answer is in transit until it is delivered.
func (x *sim) query(i *simInstance, m *simMember) {
	if !m.up || i.w.findPoller(m.address) == nil {
		return
	}
	r := simReport{address: m.address, ticket: i.w.NewTicket(), status: m.status()}
	r.status.LastRecord = x.reportedMark(m)
	if x.rand.IntN(3) == 0 {
		r.observation = &StatementObservation{LogEnd: m.mark()}
	}
	i.reports = append(i.reports, r)
	x.logStep("%s queries %s: %+v", i.name, m.address, r.status)
}

func hasEntry(m *simMember, e entry) bool {
	for _, o := range m.log {
		if o == e {
			return true
		}
	}
	return false
}

// learnTerm informs a member of the current primary. A replica drops records that the
// primary does not have; an old primary becomes a replica. A hold for a later term
// persists.
func (x *sim) learnTerm(m *simMember) {
	if !m.up || m == x.primary || m.term >= x.term || !x.primary.up {
		return
	}
	if m.heldFor <= x.term || x.fault == faultNewsReleasesHold {
		m.heldFor = 0
	}
	m.term, m.isPrimary, m.source = x.term, false, x.primary
	common := 0
	for common < len(m.log) && common < len(x.primary.log) && m.log[common] == x.primary.log[common] {
		common++
	}
	m.log = m.log[:common:common]
	x.logStep("%s learns of term %d and keeps %d records", m.address, x.term, common)
}

func (x *sim) stopMember(m *simMember) {
	if m.up {
		m.up = false
		x.logStep("%s stops", m.address)
	}
}

// startMember restarts a stopped member with its log. It remains held here, since nothing
// else in the model prevents what the hold prevents; faultRestart covers members that
// forget it.
func (x *sim) startMember() {
	for _, m := range x.members {
		if m.up || m.removed {
			continue
		}
		m.up = true
		if x.fault == faultRestart {
			m.heldFor = 0
		}
		// A primary that was replaced restarts as a replica.
		m.isPrimary = m.isPrimary && m == x.primary
		x.logStep("%s starts", m.address)
		return
	}
}

// refreshMembers updates an instance's members to the current entries.
func (x *sim) refreshMembers(i *simInstance) {
	var leaving []string
	for _, m := range x.members {
		if m.leaving && !m.removed {
			leaving = append(leaving, m.address)
		}
	}
	i.w.SetMembers(x.listed(), document.MinMembers)
	i.w.SetLeaving(leaving)
	x.logStep("%s sees %d members, leaving %v", i.name, len(x.listed()), leaving)
}

// stepReplacement takes the next step in replacing a member: its successor joins, the
// member is listed as leaving, and it is removed once the successor has its log and every
// instance has seen that it leaves.
func (x *sim) stepReplacement() {
	if !x.withReplacement {
		return
	}
	old := x.members[0]
	switch {
	case len(x.members) == 3:
		m := x.addMember(old.domain)
		m.term, m.source = x.primary.term, x.primary
		x.logStep("%s joins as the successor of %s", m.address, old.address)
	case !old.leaving:
		old.leaving = true
		x.logStep("%s is listed as leaving", old.address)
	case !old.removed && old != x.primary && x.readyForRemoval(old):
		old.removed, old.up = true, false
		x.logStep("%s is removed", old.address)
	}
}

// readyForRemoval reports whether the leaving member can be removed: its successor has all
// of its records, and every instance has seen that it leaves.
func (x *sim) readyForRemoval(old *simMember) bool {
	successor := x.members[3]
	for _, e := range old.log {
		if !hasEntry(successor, e) {
			return false
		}
	}
	for _, i := range x.instances {
		if m, ok := i.w.Snapshot().FindMember(old.address); !ok || !m.Leaving {
			return false
		}
	}
	return true
}
