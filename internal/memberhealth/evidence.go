package memberhealth

import (
	"errors"
	"time"
)

// evidenceLifetime is how long evidence lowers the threshold of an ejection. A home that still has
// the member ejected reports it again after its next failed probation, at most maxPause later.
const evidenceLifetime = 3 * time.Second

// Evidence is what a home tells the others of its failure domain about a member.
type Evidence struct {
	Group   string `json:"group"`
	Address string `json:"address"`
	// Incarnation is the start of the member's process in Unix milliseconds; zero if unknown.
	Incarnation int64 `json:"incarnation"`
	// State is Ejected or Healthy.
	State State `json:"state"`
	// Process identifies the process of the sender.
	Process string `json:"process"`
	// AgeMillis is the time since the change of state, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

var (
	errUnknownMember = errors.New("no member of the group has this address")
	errUnknownState  = errors.New("unknown state")
	errBadNumber     = errors.New("an age or an incarnation is out of range")
	errNoProcess     = errors.New("the sender's process is not named")
)

// Receive records evidence of another home. Evidence that is malformed changes nothing and is
// counted and logged.
func (t *Tracker) Receive(e Evidence) error {
	if !t.Enabled() {
		return nil
	}
	if err := t.checkEvidence(e); err != nil {
		t.cfg.Metrics.countEvidence(t.cfg.Group, evidenceInvalid)
		t.log.Warn("Evidence about a member was ignored.", "group", t.cfg.Group, "error", err)
		return err
	}
	t.mu.Lock()
	defer t.unlock()
	now := t.cfg.Clock.Now()
	r := t.currentRecord(e.Address)
	age := time.Duration(e.AgeMillis) * time.Millisecond
	switch {
	case age >= evidenceLifetime, e.Incarnation != r.incarnation && e.Incarnation != 0 && r.incarnation != 0:
		t.cfg.Metrics.countEvidence(t.cfg.Group, evidenceOutdated)
	case e.State == Healthy:
		delete(r.evidence, e.Process)
		t.cfg.Metrics.countEvidence(t.cfg.Group, evidenceAccepted)
	default:
		r.evidence[e.Process] = now.Add(-age)
		t.cfg.Metrics.countEvidence(t.cfg.Group, evidenceAccepted)
	}
	return nil
}

// maxEvidenceAge is the highest age that a message may name, in milliseconds.
const maxEvidenceAge = int64(time.Hour / time.Millisecond)

func (t *Tracker) checkEvidence(e Evidence) error {
	if _, ok := t.cfg.Snapshot().FindMember(e.Address); !ok || e.Group != t.cfg.Group {
		return errUnknownMember
	}
	switch {
	case e.State != Ejected && e.State != Healthy:
		return errUnknownState
	case e.AgeMillis < 0 || e.AgeMillis > maxEvidenceAge || e.Incarnation < 0:
		return errBadNumber
	case e.Process == "":
		return errNoProcess
	}
	return nil
}
