package pool

import "github.com/topazrock/topazrock/internal/wire"

// Release implements Pool. A connection that is not in use is left alone: a
// second Release would otherwise hand one connection to two transactions. A
// second Release after the connection was handed out again cannot be told from
// its new user's, so callers release once.
func (p *Limited) Release(c wire.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[c]
	if !ok || e.state != stateInUse {
		p.log.Error("Released a connection that is not in use.", "group", p.cfg.Group, "member", c.Address())
		return
	}
	p.takeBack(e)
	p.dispatch()
}

// takeBack moves a connection in use to where it belongs now.
func (p *Limited) takeBack(e *entry) {
	p.leaveUse(e)
	p.settle(e)
}

// leaveUse takes e out of the connections in use; the caller gives it its next
// state before the lock is released.
func (p *Limited) leaveUse(e *entry) {
	p.inUse--
	e.member.inUse--
	e.member.lane(e.workspace).inUse--
}

// settle gives a connection that no caller holds its next state.
func (p *Limited) settle(e *entry) {
	switch {
	case p.closed:
		p.startClose(e, closedShutdown)
	case !e.conn.Clean():
		// What a transaction left behind, or an answer still on the wire, would
		// reach the next one.
		p.startClose(e, closedDirty)
	case e.member.leaving:
		p.startClose(e, closedLeaving)
	case p.total()-p.closing >= p.limit:
		// The limit was lowered; e itself is not in the counts here.
		p.startClose(e, closedLimit)
	case p.memberFull(e.member, 0):
		p.startClose(e, closedLimit)
	case e.suspect:
		p.startProbe(e)
	default:
		e.state = stateIdle
		e.heardAt = p.cfg.Clock.Now()
		e.member.addIdle(e)
		p.idle++
	}
}
