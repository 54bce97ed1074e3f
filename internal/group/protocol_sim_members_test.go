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

// simMember is a member as the line protocol describes it.
type simMember struct {
	address string
	domain  string
	up      bool
	gone    bool
	leaving bool
	primary bool
	// term is the newest that the member has heard of, and held the one that it is
	// held for; zero when it receives.
	term, held logpos.Term
	log        []entry
	// source is whom it receives from; nil when it knows no primary of its term.
	source *simMember
}

// status is the member's report, as the adapter decodes it.
func (m *simMember) status() member.Status {
	s := member.Status{Entered: m.term, Last: m.mark(), Attached: m.term, Role: member.RoleReplica}
	switch {
	case m.primary:
		s.Role = member.RolePrimary
	case m.held > m.term:
		s.Role, s.Entered, s.Attached = member.RoleFenced, m.held, 0
	}
	return s
}

// mark is the end of the log: the term of its last record, and how many there are.
func (m *simMember) mark() logpos.Mark {
	if len(m.log) == 0 {
		return logpos.Mark{}
	}
	return logpos.Mark{Term: m.log[len(m.log)-1].term, Position: logpos.Position(len(m.log))}
}

func (x *sim) addMember(domain string) *simMember {
	m := &simMember{address: fmt.Sprintf("m%d", len(x.members)), domain: domain, up: true, term: x.term}
	x.members = append(x.members, m)
	return m
}

// listed are the members that the platform lists now.
func (x *sim) listed() []document.Member {
	var list []document.Member
	for _, m := range x.members {
		if !m.gone {
			list = append(list, document.Member{Address: m.address, FailureDomain: m.domain})
		}
	}
	return list
}

// replicate gives a replica the next record of its primary.
func (x *sim) replicate(m *simMember) {
	s := m.source
	if !m.up || m.primary || m.held > m.term || s == nil || !s.up || !s.primary || s.term != m.term || len(m.log) >= len(s.log) {
		return
	}
	m.log = append(m.log, s.log[len(m.log)])
	x.say("%s receives %d of %s", m.address, m.log[len(m.log)-1].number, s.address)
}

// ask sends a question, or a caller's read, to a member, which answers at once; the
// answer is under way.
func (x *sim) ask(i *simInstance, m *simMember) {
	if !m.up || i.w.find(m.address) == nil {
		return
	}
	r := simReport{address: m.address, ticket: i.w.Ask(), status: m.status()}
	r.status.Last = x.told(m)
	if x.rand.IntN(3) == 0 {
		r.observation = &Observation{Log: m.mark()}
	}
	i.reports = append(i.reports, r)
	x.say("%s asks %s: %+v", i.name, m.address, r.status)
}

func holds(m *simMember, e entry) bool {
	for _, o := range m.log {
		if o == e {
			return true
		}
	}
	return false
}

// learn lets a member hear who leads. A replica drops what the primary does not
// have; an old primary becomes a replica. A hold for a later term lasts.
func (x *sim) learn(m *simMember) {
	if !m.up || m == x.leader || m.term >= x.term || !x.leader.up {
		return
	}
	if m.held <= x.term || x.fault == faultNewsEndHold {
		m.held = 0
	}
	m.term, m.primary, m.source = x.term, false, x.leader
	common := 0
	for common < len(m.log) && common < len(x.leader.log) && m.log[common] == x.leader.log[common] {
		common++
	}
	m.log = m.log[:common:common]
	x.say("%s hears of term %d and keeps %d records", m.address, x.term, common)
}

func (x *sim) stop(m *simMember) {
	if m.up {
		m.up = false
		x.say("%s stops", m.address)
	}
}

// start starts a member that has stopped, with its log. That it was held lasts here,
// as nothing else can stand in for it; see faultRestart for members that forget it.
func (x *sim) start() {
	for _, m := range x.members {
		if m.up || m.gone {
			continue
		}
		m.up = true
		if x.fault == faultRestart {
			m.held = 0
		}
		// A primary that was replaced comes back as a replica.
		m.primary = m.primary && m == x.leader
		x.say("%s starts", m.address)
		return
	}
}

// look lets an instance see the members' entries as they are.
func (x *sim) look(i *simInstance) {
	var leaving []string
	for _, m := range x.members {
		if m.leaving && !m.gone {
			leaving = append(leaving, m.address)
		}
	}
	i.w.SetMembers(x.listed(), document.MinMembers)
	i.w.SetLeaving(leaving)
	x.say("%s sees %d members, leaving %v", i.name, len(x.listed()), leaving)
}

// replace takes the next step of replacing a member: its successor comes, it is
// listed as leaving, it is gone once the successor has its log and all have seen it.
func (x *sim) replace() {
	if !x.replaces {
		return
	}
	old := x.members[0]
	switch {
	case len(x.members) == 3:
		m := x.addMember(old.domain)
		m.term, m.source = x.leader.term, x.leader
		x.say("%s comes beside %s", m.address, old.address)
	case !old.leaving:
		old.leaving = true
		x.say("%s leaves", old.address)
	case !old.gone && old != x.leader && x.caughtUp(old):
		old.gone, old.up = true, false
		x.say("%s is gone", old.address)
	}
}

// caughtUp reports whether the successor has all that the member has, and every
// instance has seen that the member leaves.
func (x *sim) caughtUp(old *simMember) bool {
	heir := x.members[3]
	for _, e := range old.log {
		if !holds(heir, e) {
			return false
		}
	}
	for _, i := range x.instances {
		if m, ok := i.w.Snapshot().Find(old.address); !ok || !m.Leaving {
			return false
		}
	}
	return true
}
