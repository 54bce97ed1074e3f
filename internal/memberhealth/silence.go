package memberhealth

import "time"

const (
	// checkInterval is the time between two calls of CheckSilence that is expected.
	checkInterval = 30 * time.Millisecond
	// maxCheckDelay is the delay of a call above which this process is assumed to have been
	// paused, so that answers may wait unread.
	maxCheckDelay = 20 * time.Millisecond
	// comparisonPeriod is how recently another member must have answered to show that silence is
	// the member's own. It is shorter than minSilence: an answer from before the silence shows nothing.
	comparisonPeriod = 200 * time.Millisecond
)

// CheckSilence counts the statements that have gone silent and ejects members accordingly. It is
// called every checkInterval while statements run. It returns the statements that are not worth
// waiting for if they can be sent to another member.
func (t *Tracker) CheckSilence() []*Statement {
	if !t.Enabled() {
		return nil
	}
	t.mu.Lock()
	defer t.unlock()
	now := t.cfg.Clock.Now()
	t.excludePause(now)
	for address, r := range t.records {
		if !t.othersAnswer(address, now) {
			continue
		}
		for s := range r.outstanding {
			if now.Sub(s.silentFrom) >= t.times.silence(s.class) {
				t.recordSilent(r, s, now)
			}
		}
	}
	return t.unanswerable(now)
}

// excludePause does not count a time in which this process did not run as silence of the members.
func (t *Tracker) excludePause(now time.Time) {
	delay := now.Sub(t.checkedAt) - checkInterval
	t.checkedAt = now
	if delay <= maxCheckDelay {
		return
	}
	for _, r := range t.records {
		for s := range r.outstanding {
			s.silentFrom = s.silentFrom.Add(min(delay, now.Sub(s.silentFrom)))
		}
	}
}

// othersAnswer reports whether the silence of a member is its own: another member has answered
// recently, or no other member owes an answer for long.
func (t *Tracker) othersAnswer(address string, now time.Time) bool {
	silent := false
	for other, r := range t.records {
		if other == address {
			continue
		}
		if now.Sub(r.lastAnswerAt) < comparisonPeriod {
			return true
		}
		for s := range r.outstanding {
			silent = silent || now.Sub(s.silentFrom) >= minSilence
		}
	}
	return !silent
}

// unanswerable returns the statements that have gone silent, and those at members that are ejected for
// silence that are late.
func (t *Tracker) unanswerable(now time.Time) []*Statement {
	var all []*Statement
	for _, r := range t.records {
		ejected := r.state != Healthy && r.reason == ReasonSilent
		for s := range r.outstanding {
			if s.overdue || ejected && now.Sub(s.silentFrom) >= t.times.ejectedSilence(s.class) {
				all = append(all, s)
			}
		}
	}
	return all
}
