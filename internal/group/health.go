package group

import (
	"errors"
	"syscall"
	"time"
)

// busyTimeout is how long a member may be too busy for a report before it is taken for
// lost, as a process is that hangs while its machine still takes connections.
const busyTimeout = 5 * time.Second

// busyTooLong reports whether the member has been too busy for too long and has
// answered nothing else meanwhile.
func (f *follower) busyTooLong() bool {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	now := f.w.clock.Now()
	if f.busySince.IsZero() {
		f.busySince = now
	}
	since := f.busySince
	if f.observedAt.After(since) {
		since = f.observedAt
	}
	return now.Sub(since) > busyTimeout
}

// answeredAfter notes how long an answer took. The other followers look at it when they
// choose who is asked first.
func (f *follower) answeredAfter(d time.Duration) {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	f.pace.took(d)
}

// answeredBusy notes that the member answered, and that the next try can wait.
func (f *follower) answeredBusy() {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	f.busy = true
	f.recovered()
	f.w.publish()
}

// recovered ends a run of failed probes.
func (f *follower) recovered() {
	if f.view.Failing.IsZero() {
		return
	}
	f.w.log.Info("Member answers again.", "group", f.w.group, "member", f.view.Address)
	f.view.Failing, f.view.Failures, f.view.Refused = time.Time{}, 0, false
	f.w.probeOthers(f)
	f.w.notify()
}

// probeOthers has the members that fail probed at once when one of them answers
// again: what cut this instance off from it may be over for all.
func (w *Watcher) probeOthers(recovered *follower) {
	for _, f := range w.followers {
		if f != recovered && !f.view.Failing.IsZero() {
			f.askedAt = time.Time{}
			f.wake()
		}
	}
}

// search has the other members asked when the primary fails: one of them may lead
// already, by the doing of another instance, and their next polls may be seconds away.
func (w *Watcher) search(failing *follower) {
	if failing.view.Address != w.primary {
		return
	}
	for _, f := range w.followers {
		if f != failing {
			f.wake()
		}
	}
}

// failed counts a failed probe on a new connection.
func (f *follower) failed(t Ticket, err error) {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	f.w.metrics.failures.WithLabelValues(f.w.group, f.view.Address).Inc()
	if f.view.Failing.IsZero() {
		f.w.log.Warn("Member does not answer.", "group", f.w.group, "member", f.view.Address, "error", err)
		f.view.Failing = t.at
		f.w.search(f)
	}
	f.view.Failures++
	f.view.Refused = errors.Is(err, syscall.ECONNREFUSED)
	f.w.notify()
	f.w.publish()
}
