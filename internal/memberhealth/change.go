package memberhealth

// change is a change of a member's state.
type change struct {
	address     string
	incarnation int64
	from, to    State
	reason      Reason
}

// changeState applies a change to a record and notes it for reporting.
func (t *Tracker) changeState(address string, r *record, apply func()) {
	from := r.state
	apply()
	if from != r.state {
		t.changes = append(t.changes, change{address, r.incarnation, from, r.state, r.reason})
	}
}

// unlock releases the lock and reports the changes of state.
func (t *Tracker) unlock() {
	changes := t.changes
	t.changes = nil
	t.mu.Unlock()
	for _, c := range changes {
		t.report(c)
	}
}

// report logs and counts a change, and tells the other homes of ejections and readmissions. Each
// failed probation is an ejection, so that their evidence does not expire while it holds.
func (t *Tracker) report(c change) {
	t.cfg.Metrics.setState(t.cfg.Group, c.address, c.to)
	switch {
	case c.to == Ejected:
		t.cfg.Metrics.countEjection(t.cfg.Group, c.reason)
		t.log.Info("Member was ejected.", "group", t.cfg.Group, "member", c.address, "reason", c.reason, "from", c.from)
	case c.to == Probation:
		t.log.Info("Member is on probation.", "group", t.cfg.Group, "member", c.address)
		return
	default:
		t.log.Info("Member was readmitted.", "group", t.cfg.Group, "member", c.address)
	}
	t.cfg.Notify(Evidence{Group: t.cfg.Group, Address: c.address, Incarnation: c.incarnation, State: c.to, Process: t.cfg.Process})
}
