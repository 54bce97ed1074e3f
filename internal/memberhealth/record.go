package memberhealth

import "time"

const (
	// badWeight is what a bad outcome adds to a member's score; a served statement takes one away.
	// The score thus rises if a member fails more than one statement in five.
	badWeight = 4
	// ejectScore is the score at which a member is ejected: five bad outcomes in a row. One lost
	// answer in thirty does not reach it.
	ejectScore = 5 * badWeight
	// returnScore is the score after probation: a member that fails again is ejected sooner.
	returnScore = ejectScore / 2
	// probationServed is how many statements in a row a member must serve in probation. A member
	// that serves one in three passes less than once in two hundred tries.
	probationServed = 5
	// minPause is the time from an ejection to the first statement of the probation. It doubles
	// with each failed probation up to maxPause, within which a recovered member is used again.
	minPause = 500 * time.Millisecond
	maxPause = 2 * time.Second
	// flapWindow is the time after a readmission in which another ejection continues the doubling.
	flapWindow = 10 * time.Second
	// trialSpacing is the time until another read may be tried in probation if the last one was
	// not sent after all.
	trialSpacing = 100 * time.Millisecond
	// recentPeriod is how long an outcome counts as recent.
	recentPeriod = 2 * time.Second
	// minFailingOutcomes and minFailingTime are the number of bad statements, and the time between
	// the sending of the first and the last, from which a member counts as failing its work. A
	// stall of a few hundred milliseconds does not reach both.
	minFailingOutcomes = 3
	minFailingTime     = 300 * time.Millisecond
)

// record is what is known about one incarnation of a member. It is guarded by Tracker.mu.
type record struct {
	incarnation int64
	state       State
	score       int
	outstanding map[*Statement]struct{}

	// badSinceServed counts the bad outcomes of statements that were sent after the newest served
	// one; the first of these was sent at badFrom and the last at badTo.
	badSinceServed int
	badFrom, badTo time.Time
	// lastServedAt is when the newest served statement was sent, and lastAnswerAt when the last
	// statement was answered.
	lastServedAt, lastAnswerAt time.Time
	served, failed             recentCount

	// retryAt is when the next trial is due, pause the pause after the next failed one.
	retryAt       time.Time
	pause         time.Duration
	changedAt     time.Time
	probationFrom time.Time
	trialsServed  int
	reason        Reason
	// evidence holds when other homes reported the ejection, by process.
	evidence map[string]time.Time
}

func newRecord(incarnation int64) *record {
	return &record{incarnation: incarnation, state: Healthy, outstanding: make(map[*Statement]struct{}), evidence: make(map[string]time.Time)}
}

// recordAnswer moves the begin of the silence of statements that were sent after s.
func (r *record) recordAnswer(s *Statement, now time.Time) {
	r.lastAnswerAt = now
	for o := range r.outstanding {
		if o.sentAt.After(s.sentAt) {
			o.silentFrom = now
		}
	}
}

// recordServed counts a served statement.
func (r *record) recordServed(s *Statement, now time.Time) {
	r.served.add(now)
	r.score = max(r.score-1, 0)
	if s.sentAt.After(r.lastServedAt) {
		r.lastServedAt = s.sentAt
	}
	if !s.sentAt.Before(r.badFrom) {
		r.badSinceServed = 0
	}
}

// recordBad counts a bad outcome.
func (r *record) recordBad(s *Statement, now time.Time) {
	r.failed.add(now)
	r.score = min(r.score+badWeight, ejectScore)
	if s.sentAt.Before(r.lastServedAt) {
		return
	}
	if r.badSinceServed == 0 || s.sentAt.Before(r.badFrom) {
		r.badFrom = s.sentAt
	}
	if r.badSinceServed == 0 || s.sentAt.After(r.badTo) {
		r.badTo = s.sentAt
	}
	r.badSinceServed++
}

// failingSince returns since when the member fails its work; zero if it does not.
func (r *record) failingSince() time.Time {
	if r.badSinceServed < minFailingOutcomes || r.badTo.Sub(r.badFrom) < minFailingTime {
		return time.Time{}
	}
	return r.badFrom
}

// servesNothing reports whether the member has served nothing since several statements failed.
func (r *record) servesNothing() bool { return r.badSinceServed >= minFailingOutcomes }

// eject ejects the member, or prolongs its ejection after a failed probation.
func (r *record) eject(reason Reason, now time.Time) {
	switch {
	case r.state == Healthy && now.Sub(r.changedAt) > flapWindow, r.pause == 0:
		r.pause = minPause
	default:
		r.pause = min(2*r.pause, maxPause)
	}
	r.state, r.reason, r.changedAt = Ejected, reason, now
	r.retryAt = now.Add(r.pause)
}

// beginProbation lets the member serve single statements.
func (r *record) beginProbation(now time.Time) {
	r.state, r.probationFrom, r.changedAt, r.trialsServed = Probation, now, now, 0
}

// readmit ends the probation.
func (r *record) readmit(now time.Time) {
	r.state, r.changedAt, r.score = Healthy, now, returnScore
}

// trialDue reports whether a read may be sent to a member that is not healthy.
func (r *record) trialDue(now time.Time) bool {
	return r.state != Healthy && !now.Before(r.retryAt) && (r.state == Ejected || !r.hasTrial())
}

// hasTrial reports whether a statement of the probation is running.
func (r *record) hasTrial() bool {
	for s := range r.outstanding {
		if !s.sentAt.Before(r.probationFrom) {
			return true
		}
	}
	return false
}

// hasEvidence reports whether another home reported the ejection recently.
func (r *record) hasEvidence(now time.Time) bool {
	for process, at := range r.evidence {
		if now.Sub(at) >= evidenceLifetime {
			delete(r.evidence, process)
		}
	}
	return len(r.evidence) > 0
}
