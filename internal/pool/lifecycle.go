package pool

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/wire"
)

// startOpen starts an opening. If others are in progress, it is delayed by a random jitter:
// after a failover every instance needs all its connections at the same time, and the new
// primary would get them as one burst.
func (p *Limited) startOpen(m *memberState, workspace string) {
	var delay time.Duration
	if p.opening > 0 {
		delay = time.Duration(p.cfg.Rand.Int64N(int64(p.cfg.OpenJitter)))
	}
	p.opening++
	m.opening++
	m.countsFor(workspace).opening++
	go p.openConn(m, workspace, delay)
}

func (p *Limited) openConn(m *memberState, workspace string, delay time.Duration) {
	ctx, cancel := context.WithTimeout(p.background, p.cfg.OpenTimeout)
	defer cancel()
	var c wire.Conn
	err := error(nil)
	if delay > 0 {
		err = clock.Sleep(ctx, p.cfg.Clock, delay)
	}
	if err == nil {
		c, err = p.openTimed(ctx, m.address, workspace)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	m.opening--
	m.countsFor(workspace).opening--
	if err != nil {
		p.handleOpenFailure(m, workspace, err)
	} else {
		p.addOpened(m, workspace, c)
	}
	p.dispatch()
}

// addOpened adds a new connection to the pool.
func (p *Limited) addOpened(m *memberState, workspace string, c wire.Conn) {
	p.cfg.Metrics.openings.WithLabelValues(p.cfg.Group, "ok").Inc()
	m.resetBackoff()
	pc := &pooledConn{conn: c, member: m, workspace: workspace}
	p.conns[c] = pc
	p.assignNextState(pc)
	p.countsChanged.Notify()
}

// maxFullBackoff bounds the backoff for a full member to which the workspace has no
// connection. Such a member refuses an attempt at once and accepts connections again some
// seconds later. With a longer backoff it could take another second to detect that.
const maxFullBackoff = 400 * time.Millisecond

// handleOpenFailure starts the member's backoff and fails the waiters that no other
// connection can serve.
func (p *Limited) handleOpenFailure(m *memberState, workspace string, err error) {
	now := p.cfg.Clock.Now()
	m.reportedFull = errors.Is(err, wire.ErrFull)
	maxBackoff := p.cfg.MaxBackoff
	counts := m.countsFor(workspace)
	if m.reportedFull && !counts.hasEstablished() {
		maxBackoff = min(maxBackoff, maxFullBackoff)
	}
	m.extendBackoff(now, p.cfg.Rand, p.cfg.MinBackoff, maxBackoff)
	go p.dispatchAfter(m.backoffUntil.Sub(now))
	outcome := "failed"
	if m.reportedFull {
		outcome = "refused"
	}
	p.cfg.Metrics.openings.WithLabelValues(p.cfg.Group, outcome).Inc()
	p.log.Warn("Opening a connection failed.", "group", p.cfg.Group, "member", m.address, "pause", m.backoff.String(), "error", err)
	if !errors.Is(err, wire.ErrRefused) && !errors.Is(err, syscall.ECONNREFUSED) {
		// The member may have accepted the connection although this side has given up on
		// it.
		p.closing++
		go p.endClosingAfter(p.cfg.CloseTimeout, nil)
	} else {
		p.countsChanged.Notify()
	}
	if m.reportedFull {
		if p.fullOfLost(m) {
			p.refuseWhileLost(m)
			return
		}
		p.refuseWaiters(m, func(w *waiter) bool { return p.isFullFor(m, w.workspace) }, p.tooManyConnectionsError(m))
		return
	}
	// A member that accepts no new connection has often lost the old ones too. A statement
	// sent on one of them would end as outcome unknown, and after a failover they would use
	// up the connections that the new primary needs.
	p.markSuspects(m, now)
	refused := 0
	p.refuseWaiters(m, func(w *waiter) bool {
		waiterCounts := m.countsFor(w.workspace)
		if waiterCounts.inUse+waiterCounts.probing == 0 {
			return true
		}
		// The waiters after the first may still get one of the connections in use.
		refused++
		return w.workspace == workspace && refused == 1
	}, p.unreachableError(m).WithCause(err))
}

// dispatchAfter dispatches when a backoff of d has passed.
func (p *Limited) dispatchAfter(d time.Duration) {
	if clock.Sleep(p.background, p.cfg.Clock, d) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch()
}

// startProbe starts a probe of a connection that the caller has removed from the counts
// of its previous state.
func (p *Limited) startProbe(pc *pooledConn) {
	if p.cfg.Probe == nil {
		p.startClose(pc, closedProbeFailed)
		return
	}
	pc.state = stateProbing
	p.probing++
	pc.member.probing++
	pc.member.countsFor(pc.workspace).probing++
	go p.probeConn(pc)
}

func (p *Limited) probeConn(pc *pooledConn) {
	ctx, cancel := context.WithTimeout(p.background, p.cfg.ProbeTimeout)
	defer cancel()
	err := p.cfg.Probe(ctx, pc.conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing--
	pc.member.probing--
	pc.member.countsFor(pc.workspace).probing--
	pc.suspect = false
	if err != nil {
		p.startClose(pc, closedProbeFailed)
	} else {
		p.assignNextState(pc)
	}
	p.dispatch()
}

// startClose starts closing a connection that the caller has removed from the counts of
// its previous state.
func (p *Limited) startClose(pc *pooledConn, reason string) {
	pc.state = stateClosing
	p.closing++
	p.cfg.Metrics.closes.WithLabelValues(p.cfg.Group, reason).Inc()
	go p.closeConn(pc)
}

// closeConn closes a connection and keeps counting it until the member has confirmed the
// closing or CloseTimeout has passed. If it stopped counting at once, the member could
// see one connection more than the limit until it has processed the end of the old one.
// If the member still holds it after CloseTimeout, only the member's own limit prevents
// this.
func (p *Limited) closeConn(pc *pooledConn) {
	started := p.cfg.Clock.Now()
	confirmed := p.closeAndConfirm(pc)
	p.mu.Lock()
	delete(p.conns, pc.conn)
	p.mu.Unlock()
	var remaining time.Duration
	if !confirmed {
		p.cfg.Metrics.unconfirmedCloses.WithLabelValues(p.cfg.Group).Inc()
		remaining = p.cfg.CloseTimeout - p.cfg.Clock.Now().Sub(started)
	}
	p.endClosingAfter(remaining, pc)
}

func (p *Limited) closeAndConfirm(pc *pooledConn) bool {
	if p.cfg.Close == nil {
		_ = pc.conn.Close()
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(p.background), p.cfg.CloseTimeout)
	defer cancel()
	return p.cfg.Close(ctx, pc.conn) == nil
}

// endClosingAfter waits for d and then stops counting one closing: that of pc or, if pc is
// nil, of a connection whose opening failed.
func (p *Limited) endClosingAfter(d time.Duration, pc *pooledConn) {
	if d > 0 {
		_ = clock.Sleep(context.WithoutCancel(p.background), p.cfg.Clock, d)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing--
	if pc != nil && pc.replaced {
		pc.member.replacing--
	}
	p.countsChanged.Notify()
	p.dispatch()
}
