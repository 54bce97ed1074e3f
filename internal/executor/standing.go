package executor

import "github.com/topazrock/topazrock/internal/execution"

// standing is what an instance can do for a group that it is home to.
type standing struct {
	// Writes says that it reaches a primary whose writes can be confirmed.
	Writes bool `json:"writes"`
	// Reads says that it can prove reads fresh: by the primary, or by a majority.
	Reads bool `json:"reads"`
}

// serves reports whether the standing is enough for a unit.
func (s standing) serves(u *execution.Unit) bool {
	if u.OnlyReads() {
		return s.Reads
	}
	return s.Writes
}

// standing returns what this instance can do for the group now. A primary that has
// missed a single probe does not count: here its units wait, but those of other
// instances would be sent to it and be lost with it. Nor does a member that takes no
// connection of this instance.
func (g *Group) standing() standing {
	s, err := g.findWritable()
	primary, _ := s.Find(s.Primary)
	writes := err == nil && primary.Failing.IsZero() && !g.Pool.Full(s.Primary)
	return standing{Writes: writes, Reads: writes || g.Tracker.Snapshot().MajorityAnswers() && g.connects()}
}

// connects reports whether some member of the group that answers can be sent statements.
func (g *Group) connects() bool {
	for _, m := range g.Tracker.Snapshot().Members {
		if m.Failing.IsZero() && !g.Pool.Full(m.Address) {
			return true
		}
	}
	return false
}
