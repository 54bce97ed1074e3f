package pool

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/wire"
)

// startOpen begins an opening. One that starts while others run waits a random
// moment first: after a failover every instance needs all its connections at
// the same instant, and the new primary would meet them as one burst.
func (p *Limited) startOpen(m *memberState, workspace string) {
	var delay time.Duration
	if p.opening > 0 {
		delay = time.Duration(p.cfg.Rand.Int64N(int64(p.cfg.OpenJitter)))
	}
	p.opening++
	m.opening++
	m.lane(workspace).opening++
	go p.open(m, workspace, delay)
}

func (p *Limited) open(m *memberState, workspace string, delay time.Duration) {
	ctx, cancel := context.WithTimeout(p.background, p.cfg.OpenTimeout)
	defer cancel()
	var c wire.Conn
	err := error(nil)
	if delay > 0 {
		err = clock.Sleep(ctx, p.cfg.Clock, delay)
	}
	if err == nil {
		c, err = p.cfg.Open(ctx, m.address, workspace)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	m.opening--
	m.lane(workspace).opening--
	if err != nil {
		p.openFailed(m, workspace, err)
	} else {
		p.opened(m, workspace, c)
	}
	p.dispatch()
}

// opened takes in a new connection.
func (p *Limited) opened(m *memberState, workspace string, c wire.Conn) {
	p.cfg.Metrics.opened.WithLabelValues(p.cfg.Group, "ok").Inc()
	m.recovered()
	e := &entry{conn: c, member: m, workspace: workspace}
	p.entries[c] = e
	p.settle(e)
	p.changed.Notify()
}

// maxFullPause bounds the pause between tries of a member that takes no more
// connections, while there is none of the workspace to it. It answers such a try at once, and
// has room again some seconds later: when it has, it must not take another second to find out.
const maxFullPause = 400 * time.Millisecond

// openFailed holds back openings to the member, and ends the wait of those
// whom nothing else can serve.
func (p *Limited) openFailed(m *memberState, workspace string, err error) {
	now := p.cfg.Clock.Now()
	m.refused = errors.Is(err, wire.ErrFull)
	longest := p.cfg.MaxPause
	l := m.lane(workspace)
	if m.refused && !l.connected() {
		longest = min(longest, maxFullPause)
	}
	m.holdBack(now, p.cfg.Rand, p.cfg.MinPause, longest)
	go p.dispatchAfter(m.pausedUntil.Sub(now))
	outcome := "failed"
	if m.refused {
		outcome = "refused"
	}
	p.cfg.Metrics.opened.WithLabelValues(p.cfg.Group, outcome).Inc()
	p.log.Warn("Opening a connection failed.", "group", p.cfg.Group, "member", m.address, "pause", m.pause.String(), "error", err)
	if !errors.Is(err, wire.ErrRefused) && !errors.Is(err, syscall.ECONNREFUSED) {
		// The attempt may have reached the member, which then holds a
		// connection that this side has given up.
		p.closing++
		go p.hold(p.cfg.CloseHold, nil)
	} else {
		p.changed.Notify()
	}
	if m.refused {
		p.refuseWaiters(m, func(w *waiter) bool { return p.staysFull(m, w.workspace) }, p.full(m))
		return
	}
	// A member that takes no new connection has often lost the old ones too. A
	// statement sent on one would end as outcome unknown, and after a failover
	// they would hold the places that the new primary needs.
	p.suspect(m, now)
	refused := 0
	p.refuseWaiters(m, func(w *waiter) bool {
		serving := m.lane(w.workspace)
		if serving.inUse+serving.probing == 0 {
			return true
		}
		// Those behind the first may still get the connections in use.
		refused++
		return w.workspace == workspace && refused == 1
	}, p.unreachable(m).WithCause(err))
}

// dispatchAfter dispatches when a pause is over.
func (p *Limited) dispatchAfter(d time.Duration) {
	if clock.Sleep(p.background, p.cfg.Clock, d) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch()
}

// startProbe begins the probe of a connection that no table holds.
func (p *Limited) startProbe(e *entry) {
	if p.cfg.Probe == nil {
		p.startClose(e, closedSilent)
		return
	}
	e.state = stateProbing
	p.probing++
	e.member.probing++
	e.member.lane(e.workspace).probing++
	go p.probe(e)
}

func (p *Limited) probe(e *entry) {
	ctx, cancel := context.WithTimeout(p.background, p.cfg.ProbeTimeout)
	defer cancel()
	err := p.cfg.Probe(ctx, e.conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing--
	e.member.probing--
	e.member.lane(e.workspace).probing--
	e.suspect = false
	if err != nil {
		p.startClose(e, closedSilent)
	} else {
		p.settle(e)
	}
	p.dispatch()
}

// startClose begins the closing of a connection that no table holds.
func (p *Limited) startClose(e *entry, reason string) {
	e.state = stateClosing
	p.closing++
	p.cfg.Metrics.closed.WithLabelValues(p.cfg.Group, reason).Inc()
	go p.close(e)
}

// close ends a connection and keeps it in the count until the member confirmed
// it or CloseHold has passed. Without the hold the member sees one connection
// more than the total for as long as it has not read the end of the old one.
// Past the hold the member's own limit is what is left.
func (p *Limited) close(e *entry) {
	started := p.cfg.Clock.Now()
	confirmed := p.closeConfirmed(e)
	p.mu.Lock()
	delete(p.entries, e.conn)
	p.mu.Unlock()
	var rest time.Duration
	if !confirmed {
		p.cfg.Metrics.unconfirmed.WithLabelValues(p.cfg.Group).Inc()
		rest = p.cfg.CloseHold - p.cfg.Clock.Now().Sub(started)
	}
	p.hold(rest, e)
}

func (p *Limited) closeConfirmed(e *entry) bool {
	if p.cfg.Close == nil {
		_ = e.conn.Close()
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(p.background), p.cfg.CloseHold)
	defer cancel()
	return p.cfg.Close(ctx, e.conn) == nil
}

// hold waits for d and then stops counting one closing: that of e, or, where e is nil, of a
// connection that was never whole.
func (p *Limited) hold(d time.Duration, e *entry) {
	if d > 0 {
		_ = clock.Sleep(context.WithoutCancel(p.background), p.cfg.Clock, d)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing--
	if e != nil && e.replaced {
		e.member.replacing--
	}
	p.changed.Notify()
	p.dispatch()
}
