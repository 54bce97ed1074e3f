package group

import (
	"errors"
	"syscall"
	"time"
)

// busyTimeout is how long a member may be too busy to report before it counts as lost. A
// process that hangs while its host still accepts connections looks the same.
const busyTimeout = 5 * time.Second

// busyTooLong reports whether the member has been too busy for longer than busyTimeout and
// has answered nothing else in that time.
func (p *poller) busyTooLong() bool {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	now := p.w.clock.Now()
	if p.busySince.IsZero() {
		p.busySince = now
	}
	since := p.busySince
	if p.answeredStatementAt.After(since) {
		since = p.answeredStatementAt
	}
	return now.Sub(since) > busyTimeout
}

// recordResponseTime records how long an answer took. The other pollers read it to decide
// which replica is queried first.
func (p *poller) recordResponseTime(d time.Duration) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.responseTimes.record(d)
}

// recordBusy records that the member is alive but overloaded, which delays the next query.
func (p *poller) recordBusy() {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.busy = true
	p.recordRecovery()
	p.w.publishSnapshot()
}

// recordRecovery ends a run of failed probes.
func (p *poller) recordRecovery() {
	if p.view.FailingSince.IsZero() {
		return
	}
	p.w.log.Info("Member answers again.", "group", p.w.group, "member", p.view.Address)
	p.view.FailingSince, p.view.Failures, p.view.ConnectionRefused = time.Time{}, 0, false
	p.w.probeFailingMembers(p)
	p.w.signalChange()
}

// probeFailingMembers probes all failing members immediately when one of them answers
// again: the outage between this instance and that member may be over for all.
func (w *Watcher) probeFailingMembers(recovered *poller) {
	for _, p := range w.pollers {
		if p != recovered && !p.view.FailingSince.IsZero() {
			p.queriedAt = time.Time{}
			p.wake()
		}
	}
}

// searchForPrimary queries the other members when the primary fails. One of them may
// already be primary, promoted by another instance, and the next polls of the members may
// be due only in seconds.
func (w *Watcher) searchForPrimary(failing *poller) {
	if failing.view.Address != w.primary {
		return
	}
	for _, p := range w.pollers {
		if p != failing {
			p.wake()
		}
	}
}

// recordFailure counts a failed probe on a new connection.
func (p *poller) recordFailure(t Ticket, err error) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.w.metrics.probeFailures.WithLabelValues(p.w.group, p.view.Address).Inc()
	if p.view.FailingSince.IsZero() {
		p.w.log.Warn("Member does not answer.", "group", p.w.group, "member", p.view.Address, "error", err)
		p.view.FailingSince = t.at
		p.w.searchForPrimary(p)
	}
	p.view.Failures++
	p.view.ConnectionRefused = errors.Is(err, syscall.ECONNREFUSED)
	p.w.signalChange()
	p.w.publishSnapshot()
}
