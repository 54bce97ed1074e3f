package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// group is a database group: its members and the log that they replicate. One lock guards the
// state of all members.
type group struct {
	record *record
	store  *store
	name   string
	slots  int
	// changedAt is when the scenario last saw another member lead.
	changedAt time.Time

	mu      sync.Mutex
	members []*member
	// runs are the statements that members have run.
	runs []statementRun
	// ownerOf returns the process of the instance that has the other end of a connection; nil if
	// the members need not know it.
	ownerOf func(remote net.Addr) int
	// onPause is called right after a member has answered a PAUSE; beforePromotion is called when
	// a promotion is about to take effect, with the lock held. Nil if nobody asks.
	onPause         func(m *member)
	beforePromotion func(m *member)
	// isolated is the member that is cut off from the others; nil if none is.
	isolated *member
	// onStatusOfPaused is called right after a member has answered STATUS on a connection on which
	// it was paused for a term that nobody leads yet; nil if nobody asks.
	onStatusOfPaused func()
}

// statementRun is one statement that a member has run.
type statementRun struct {
	at     time.Time
	member string
	// conn and transaction number the member's connection and the transaction on it, from 1; the
	// transaction is 0 outside of any.
	conn, transaction int
	id, text          string
	// values are the session values of the connection.
	values map[string]string
	// held is the end of the member's log when the statement ran.
	held int
}

// entry is one commit in a member's log.
type entry struct {
	term, number int
	writes       map[string]string
	ids          []string
}

// addMember adds a member. The first one is the primary of term 1.
func (g *group) addMember(id, zone, address string, lag time.Duration) (*member, error) {
	m := &member{group: g, id: id, zone: zone, address: address, lag: lag, term: 1, leads: len(g.members) == 0}
	g.mu.Lock()
	if len(g.members) > 0 {
		m.following = g.members[0]
	}
	g.members = append(g.members, m)
	g.mu.Unlock()
	return m, m.start()
}

// report writes a member's entry in the store. g.mu must not be held.
func (m *member) report() {
	m.group.mu.Lock()
	role := "replica"
	if m.leads {
		role = "primary"
	}
	m.seq++
	spec := map[string]any{"Service": m.group.name, "Addr": m.address, "Zone": m.zone, "Version": "v1", "Slots": m.group.slots,
		"State": "ready", "ColdMs": 0, "DbRole": role, "Seq": m.seq, "born": m.born}
	m.group.mu.Unlock()
	m.group.store.write(kindMembers, m.id, spec)
}

// primary returns the member that leads the highest term; nil if it is not running.
func (g *group) primary() *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader()
}

// leader is primary with g.mu held.
func (g *group) leader() *member {
	var best *member
	for _, m := range g.members {
		if m.leads && m.running && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// leaderFor returns the leader of the highest term that a member reaches. g.mu must be held.
func (g *group) leaderFor(m *member) *member {
	var best *member
	for _, o := range g.members {
		if o.leads && o.running && (best == nil || o.term > best.term) && (g.isolated == nil || g.isolated != o && g.isolated != m) {
			best = o
		}
	}
	return best
}

// cutLinks cuts a member off from the other members. g.mu must be held.
func (g *group) cutLinks(m *member) {
	g.isolated = m
	g.record.add("member "+m.id, "is cut off from the other members")
}

// commit appends the writes of a transaction to a primary's log and replicates it. g.mu must be
// held.
func (g *group) commit(m *member, writes map[string]string, ids []string) {
	m.log = append(m.log, entry{term: m.term, number: len(m.log) + 1, writes: writes, ids: ids})
	end := len(m.log)
	for _, f := range g.members {
		if f != m {
			time.AfterFunc(f.lag, func() { f.receive(m, end) })
		}
	}
}

// receive replicates a primary's log up to an entry, if the member follows that primary.
func (m *member) receive(from *member, end int) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if g := m.group; g.isolated == m || g.isolated == from {
		return
	}
	if !m.running || m.following != from || m.heldTerm > m.term || m.term != from.term || end <= len(m.log) {
		return
	}
	m.log = append([]entry(nil), from.log[:end]...)
}

// startPromotion appoints a member; it leads the next term after the delay.
func (g *group) startPromotion(id string, delay time.Duration) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.find(id)
	if m == nil || !m.running {
		return http.StatusConflict
	}
	time.AfterFunc(delay, func() { g.promote(m) })
	return http.StatusOK
}

// find returns the member with an ID. g.mu must be held.
func (g *group) find(id string) *member {
	for _, m := range g.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// promote makes a member the primary of the next term, with what it has received.
func (g *group) promote(m *member) {
	g.mu.Lock()
	if !m.running || m == g.leader() {
		g.mu.Unlock()
		return
	}
	if g.beforePromotion != nil {
		g.beforePromotion(m)
	}
	term := 0
	for _, o := range g.members {
		term = max(term, o.term)
	}
	m.term, m.heldTerm, m.leads, m.following = term+1, 0, true, nil
	for _, o := range g.members {
		if o != m && g.isolated != m {
			o.follow(m)
		}
	}
	g.record.add("member "+m.id, "leads term %d with a log of %d", m.term, len(m.log))
	g.mu.Unlock()
	for _, o := range g.members {
		o.report()
	}
}

// follow makes a running member a replica of a primary, with that one's log. g.mu must be held.
func (m *member) follow(leader *member) {
	if !m.running {
		return
	}
	m.leads, m.following, m.term, m.heldTerm = false, leader, leader.term, 0
	m.log = append([]entry(nil), leader.log...)
}

// crash ends a member's process: its connections are reset and its port refuses new ones.
func (m *member) crash() {
	m.group.mu.Lock()
	m.running = false
	conns := m.conns
	m.conns = nil
	m.group.mu.Unlock()
	m.group.record.add("member "+m.id, "crashes")
	_ = m.listener.Close()
	for _, c := range conns {
		reset(c)
	}
}

// restart starts a crashed member with its log: as a replica if another member leads.
func (m *member) restart() error {
	if err := m.start(); err != nil {
		return err
	}
	m.group.mu.Lock()
	if leader := m.group.leaderFor(m); leader != nil && leader != m {
		m.follow(leader)
	}
	m.group.mu.Unlock()
	m.group.record.add("member "+m.id, "is back")
	m.report()
	return nil
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// committed returns the entry that holds the writes of a statement in the primary's log.
func (g *group) committed(id string) (entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.leader(); p != nil {
		for _, e := range p.log {
			for _, other := range e.ids {
				if other == id {
					return e, true
				}
			}
		}
	}
	return entry{}, false
}

// run returns the run of a statement.
func (g *group) run(id string) (statementRun, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.runs {
		if r.id == id {
			return r, true
		}
	}
	return statementRun{}, false
}

func (e entry) String() string { return fmt.Sprintf("%d.%d", e.term, e.number) }
