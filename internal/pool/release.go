package pool

import "github.com/topazrock/topazrock/internal/wire"

// Release implements Pool. Releasing a connection that is not in use has no effect:
// otherwise a second Release would hand one connection to two transactions. A second
// Release after the connection was handed out again cannot be distinguished from that of
// its new user, so callers must release once.
func (p *Limited) Release(c wire.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pc, ok := p.conns[c]
	if !ok || pc.state != stateInUse {
		p.log.Error("Released a connection that is not in use.", "group", p.cfg.Group, "member", c.Address())
		return
	}
	p.returnConn(pc)
	p.dispatch()
}

// returnConn ends the use of a connection and assigns its next state.
func (p *Limited) returnConn(pc *pooledConn) {
	p.removeInUse(pc)
	p.assignNextState(pc)
}

// removeInUse removes the connection from the counts of those in use. The caller must
// assign its next state before it releases the lock.
func (p *Limited) removeInUse(pc *pooledConn) {
	p.inUse--
	pc.member.inUse--
	pc.member.countsFor(pc.workspace).inUse--
}

// assignNextState assigns the next state of a connection that is not in use and not in any
// count.
func (p *Limited) assignNextState(pc *pooledConn) {
	switch {
	case p.closed:
		p.startClose(pc, closedShutdown)
	case !pc.conn.Reusable():
		// Session state left by a transaction, or a response still on the wire, would reach
		// the next user of the connection.
		p.startClose(pc, closedNotClean)
	case pc.member.leaving:
		p.startClose(pc, closedLeaving)
	case p.total()-p.closing >= p.limit:
		// The limit was lowered; the connection itself is not counted here.
		p.startClose(pc, closedLimit)
	case p.memberAtLimit(pc.member, 0):
		p.startClose(pc, closedLimit)
	case pc.suspect:
		p.startProbe(pc)
	default:
		pc.state = stateIdle
		pc.idleSince = p.cfg.Clock.Now()
		pc.member.addIdle(pc)
		p.idle++
	}
}
