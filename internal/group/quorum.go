package group

import "math/bits"

// quorum tells which members of a group are enough: any two sets that are share
// a member, so that a promotion that fenced one meets all that was confirmed by
// another.
//
// A majority of the listed members always is. While one member leaves and its
// successor stands beside it in its failure domain, one more kind is: of the steady
// members, those of the other domains, a majority of the group's size without
// either one of the two. Such a set is a majority of the group before the
// successor came and of the group after the leaving member is gone, and it meets
// every majority of both together. Without it the loss of that one domain takes two
// of four members away, and with them every majority.
type quorum struct {
	// size is how many members a majority is counted over.
	size int
	// steady has one bit a steady member, and steadyNeed is how many of them are
	// enough; zero when no member is being replaced.
	steady     uint64
	steadyNeed int
}

// seat is what a quorum needs to know of a member.
type seat struct {
	// bit stands for the member in sets.
	bit           uint64
	failureDomain string
	leaving       bool
}

// newQuorum returns the quorum of the members listed, counted over least at least.
func newQuorum(seats []seat, least int) quorum {
	q := quorum{size: max(least, len(seats))}
	domain, one := leavingDomain(seats)
	if !one {
		return q
	}
	successors := 0
	for _, s := range seats {
		switch {
		case s.failureDomain != domain:
			q.steady |= s.bit
		case !s.leaving:
			successors++
		}
	}
	// Without a successor the group shrinks rather than changes, and two instances
	// that see different members leave would count over different groups.
	if successors == 0 {
		return q
	}
	q.steadyNeed = (q.size-1)/2 + 1
	return q
}

// leavingDomain returns the failure domain of the one member that leaves; false
// when none or several do.
func leavingDomain(seats []seat) (string, bool) {
	domain, leaving := "", 0
	for _, s := range seats {
		if s.leaving {
			domain = s.failureDomain
			leaving++
		}
	}
	return domain, leaving == 1
}

// met reports whether a set of members is enough.
func (q quorum) met(set uint64) bool {
	if bits.OnesCount64(set) > q.size/2 {
		return true
	}
	return q.steadyNeed > 0 && bits.OnesCount64(set&q.steady) >= q.steadyNeed
}

// replicas is how many replicas are a majority with their primary.
func (q quorum) replicas() int { return q.size / 2 }

// Enough reports whether the members that in selects are a quorum.
func (s *Snapshot) Enough(in func(m MemberView) bool) bool {
	seats := make([]seat, len(s.Members))
	var set uint64
	for i, m := range s.Members {
		seats[i] = seat{bit: 1 << i, failureDomain: m.FailureDomain, leaving: m.Leaving}
		if in(m) {
			set |= seats[i].bit
		}
	}
	return newQuorum(seats, s.Size).met(set)
}

// MajorityAnswers reports whether the members whose last probe went well are a quorum.
func (s *Snapshot) MajorityAnswers() bool {
	return s.Enough(func(m MemberView) bool { return m.Failing.IsZero() })
}

// countSeats renews the quorum after members, or what is known of them, changed.
// Whoever waits for a confirmation may have it by now.
func (w *Watcher) countSeats() {
	seats := make([]seat, len(w.followers))
	for i, f := range w.followers {
		seats[i] = seat{bit: f.bit(), failureDomain: f.view.FailureDomain, leaving: f.view.Leaving}
	}
	w.quorum = newQuorum(seats, w.least)
	for x := range w.waiters {
		switch {
		case x.marked && w.confirmedBy(x.holders):
			w.end(x, nil)
		case x.floor:
			w.proveFloor(x)
		}
	}
}

// enough reports whether members are a quorum of those that are listed now.
func (w *Watcher) enough(set uint64) bool { return w.quorum.met(set) }

// confirmedBy reports whether replicas are a quorum together with their primary.
func (w *Watcher) confirmedBy(replicas uint64) bool { return w.enough(w.withPrimary(replicas)) }

// withPrimary adds the primary, which holds all that replicas are asked for. One that
// is not listed any more counts for nothing: the group is counted without it.
func (w *Watcher) withPrimary(replicas uint64) uint64 {
	if p := w.find(w.primary); p != nil {
		return replicas | p.bit()
	}
	return replicas
}

// bit stands for the follower's member in sets.
func (f *follower) bit() uint64 { return 1 << f.index }
