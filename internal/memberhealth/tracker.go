package memberhealth

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/group"
)

// Config holds what a Tracker depends on.
type Config struct {
	Group string
	// Process identifies this process in evidence.
	Process string
	Clock   clock.Clock
	Logger  hclog.Logger
	Metrics *Metrics
	// Enabled reports whether the health of members is in use. It may change from false to true.
	Enabled func() bool
	// Incarnation returns the start of the member's process in Unix milliseconds; zero if it is
	// not known.
	Incarnation func(address string) int64
	Snapshot    func() *group.Snapshot
	// Notify passes evidence to the other homes of the failure domain. It must not block.
	Notify func(Evidence)
}

// Tracker holds the health of a group's members as seen by one home. The methods of a nil Tracker
// report that every member is healthy.
type Tracker struct {
	cfg Config
	log hclog.Logger

	mu      sync.Mutex
	records map[string]*record
	times   answerTimes
	// checkedAt is when CheckSilence last ran.
	checkedAt time.Time
	// changes are the changes of state that are to be reported when mu is released.
	changes []change
}

var _ WorkView = (*Tracker)(nil)

// NewTracker returns a Tracker that knows nothing of the members.
func NewTracker(c Config) *Tracker {
	return &Tracker{cfg: c, log: c.Logger.Named("memberhealth"), records: make(map[string]*record), times: make(answerTimes)}
}

// Enabled reports whether the health of members is in use.
func (t *Tracker) Enabled() bool { return t != nil && t.cfg.Enabled() }

// Begin records that a statement of a class is sent to a member. It returns nil if the health of
// members is not in use.
func (t *Tracker) Begin(address, class string) *Statement {
	if !t.Enabled() {
		return nil
	}
	t.mu.Lock()
	defer t.unlock()
	now := t.cfg.Clock.Now()
	r := t.currentRecord(address)
	if r.state == Ejected && r.trialDue(now) {
		t.changeState(address, r, func() { r.beginProbation(now) })
	}
	s := &Statement{tracker: t, address: address, incarnation: r.incarnation, class: class, sentAt: now, silentFrom: now}
	r.outstanding[s] = struct{}{}
	return s
}

// end records the outcome of a statement. One that was sent to an earlier incarnation of the member
// says nothing about the present one.
func (t *Tracker) end(s *Statement, o outcome) {
	t.mu.Lock()
	defer t.unlock()
	now := t.cfg.Clock.Now()
	r := t.records[s.address]
	if r == nil {
		return
	}
	if _, ok := r.outstanding[s]; !ok {
		return
	}
	delete(r.outstanding, s)
	switch o {
	case outcomeServed:
		t.times.record(s.class, now.Sub(s.sentAt))
		r.recordAnswer(s, now)
		r.recordServed(s, now)
		t.countTrial(r, s, now)
	case outcomeFailed:
		r.recordAnswer(s, now)
		t.recordBad(r, s, ReasonFailed, now)
	case outcomeBroken:
		t.recordSilent(r, s, now)
	case outcomeTimedOut:
		if now.Sub(s.silentFrom) >= t.times.silence(s.class) {
			t.recordSilent(r, s, now)
		}
	case outcomeRefused:
		r.recordAnswer(s, now)
	}
}

// recordSilent counts a statement as silent, once.
func (t *Tracker) recordSilent(r *record, s *Statement, now time.Time) {
	if s.overdue {
		return
	}
	s.overdue = true
	t.recordBad(r, s, ReasonSilent, now)
}

// recordBad counts a bad outcome and ejects the member if that is due. A statement that was sent
// before the ejection does not prolong it.
func (t *Tracker) recordBad(r *record, s *Statement, reason Reason, now time.Time) {
	r.recordBad(s, now)
	switch {
	case r.state == Probation && !s.sentAt.Before(r.probationFrom):
		t.changeState(s.address, r, func() { r.eject(reason, now) })
	case r.state == Healthy && (r.score >= ejectScore || r.hasEvidence(now)) && t.mayEject(s.address, r):
		t.changeState(s.address, r, func() { r.eject(reason, now) })
	}
}

// countTrial counts a statement that was served in probation, and readmits the member after
// several of them.
func (t *Tracker) countTrial(r *record, s *Statement, now time.Time) {
	if r.state != Probation || s.sentAt.Before(r.probationFrom) || s.overdue {
		return
	}
	r.trialsServed++
	r.retryAt = now
	if r.trialsServed >= probationServed {
		t.changeState(s.address, r, func() { r.readmit(now) })
	}
}

// currentRecord returns the record of the member's present incarnation.
func (t *Tracker) currentRecord(address string) *record {
	incarnation := t.cfg.Incarnation(address)
	r := t.records[address]
	if r != nil && (incarnation == 0 || r.incarnation == incarnation) {
		return r
	}
	if r != nil && r.incarnation == 0 {
		r.incarnation = incarnation
		return r
	}
	if r != nil && r.state != Healthy {
		t.changeState(address, r, func() { r.state = Healthy })
	}
	r = newRecord(incarnation)
	t.records[address] = r
	t.dropRemoved()
	return r
}

// dropRemoved drops the records of members that the group no longer has.
func (t *Tracker) dropRemoved() {
	s := t.cfg.Snapshot()
	for address, r := range t.records {
		if _, ok := s.FindMember(address); !ok && len(r.outstanding) == 0 {
			delete(t.records, address)
			t.cfg.Metrics.removeMember(t.cfg.Group, address)
		}
	}
}

// State returns the member's health.
func (t *Tracker) State(address string) State {
	if !t.Enabled() {
		return Healthy
	}
	t.mu.Lock()
	defer t.unlock()
	return t.currentRecord(address).state
}

// TrialDue reports whether a read may be sent to a member that is not healthy, to try it.
func (t *Tracker) TrialDue(address string) bool {
	if !t.Enabled() {
		return false
	}
	t.mu.Lock()
	defer t.unlock()
	return t.currentRecord(address).trialDue(t.cfg.Clock.Now())
}

// TakeTrial records that a read is about to be sent to a member whose trial is due.
func (t *Tracker) TakeTrial(address string) {
	t.mu.Lock()
	defer t.unlock()
	now := t.cfg.Clock.Now()
	r := t.currentRecord(address)
	if r.state == Ejected {
		t.changeState(address, r, func() { r.beginProbation(now) })
	}
	r.retryAt = now.Add(trialSpacing)
}

// Work implements WorkView. A member that does not answer its probes does not count as failing its
// work: it is lost.
func (t *Tracker) Work(address string) Work {
	if !t.Enabled() {
		return Work{}
	}
	t.mu.Lock()
	defer t.unlock()
	now := t.cfg.Clock.Now()
	r := t.currentRecord(address)
	w := Work{Incarnation: r.incarnation, Served: r.served.sum(now), Failed: r.failed.sum(now), LastServedAt: r.lastServedAt}
	if m, ok := t.cfg.Snapshot().FindMember(address); ok && m.FailingSince.IsZero() {
		w.FailingSince = r.failingSince()
	}
	return w
}
