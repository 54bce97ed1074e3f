package group

import "math/bits"

// quorum decides which sets of a group's members are sufficient. Any two sufficient sets
// share a member, so a promotion that fenced one set includes a member of every set that
// confirmed a position.
//
// A majority of the listed members is always sufficient. While one member leaves and its
// successor in the same failure domain is already listed, the members of the other failure
// domains are the stable ones, and a set with enough of them is sufficient as well: a
// majority of the group's size minus one, because the leaving member and its successor are
// counted as one. Such a set is a majority of the group before the successor joined and of
// the group after the leaving member is removed, and it intersects every majority of the
// group that contains both. Without this rule, losing that one failure domain removes two
// of four members and with them every majority.
type quorum struct {
	// size is the number of members that a majority is counted over.
	size int
	// stable has one bit for each stable member, and stableNeeded is how many of them are
	// sufficient; zero when no member is being replaced.
	stable       uint64
	stableNeeded int
}

// quorumMember holds the properties of a member that determine the quorum.
type quorumMember struct {
	// bit identifies the member in bit sets.
	bit           uint64
	failureDomain string
	leaving       bool
}

// newQuorum returns the quorum of the members, counted over at least minSize.
func newQuorum(members []quorumMember, minSize int) quorum {
	q := quorum{size: max(minSize, len(members))}
	domain, single := leavingDomain(members)
	if !single {
		return q
	}
	successors := 0
	for _, m := range members {
		switch {
		case m.failureDomain != domain:
			q.stable |= m.bit
		case !m.leaving:
			successors++
		}
	}
	// Without a successor the group shrinks instead of replacing a member, and two
	// instances that see different members leave would count over different groups.
	if successors == 0 {
		return q
	}
	q.stableNeeded = (q.size-1)/2 + 1
	return q
}

// leavingDomain returns the failure domain of the only leaving member; false if no member
// or more than one leaves.
func leavingDomain(members []quorumMember) (string, bool) {
	domain, leaving := "", 0
	for _, m := range members {
		if m.leaving {
			domain = m.failureDomain
			leaving++
		}
	}
	return domain, leaving == 1
}

// satisfiedBy reports whether set is sufficient.
func (q quorum) satisfiedBy(set uint64) bool {
	if bits.OnesCount64(set) > q.size/2 {
		return true
	}
	return q.stableNeeded > 0 && bits.OnesCount64(set&q.stable) >= q.stableNeeded
}

// requiredReplicas is the number of replicas that form a majority together with the
// primary.
func (q quorum) requiredReplicas() int { return q.size / 2 }

// IsQuorum reports whether the members for which selected returns true are a quorum.
func (s *Snapshot) IsQuorum(selected func(m MemberView) bool) bool {
	members := make([]quorumMember, len(s.Members))
	var set uint64
	for i, m := range s.Members {
		members[i] = quorumMember{bit: 1 << i, failureDomain: m.FailureDomain, leaving: m.Leaving}
		if selected(m) {
			set |= members[i].bit
		}
	}
	return newQuorum(members, s.Size).satisfiedBy(set)
}

// QuorumReachable reports whether the members whose last probe succeeded are a quorum.
func (s *Snapshot) QuorumReachable() bool {
	return s.IsQuorum(func(m MemberView) bool { return m.FailingSince.IsZero() })
}

// updateQuorum recomputes the quorum after the members or their properties changed, and
// completes waiters that have become confirmed as a result.
func (w *Watcher) updateQuorum() {
	members := make([]quorumMember, len(w.pollers))
	for i, p := range w.pollers {
		members[i] = quorumMember{bit: p.bit(), failureDomain: p.view.FailureDomain, leaving: p.view.Leaving}
	}
	w.quorum = newQuorum(members, w.minSize)
	for wt := range w.waiters {
		switch {
		case wt.hasMark && w.confirmedBy(wt.holders):
			w.completeWaiter(wt, nil)
		case wt.isFloor:
			w.completeFloor(wt)
		}
	}
}

// isQuorum reports whether set is a quorum of the members listed now.
func (w *Watcher) isQuorum(set uint64) bool { return w.quorum.satisfiedBy(set) }

// confirmedBy reports whether the replicas and their primary are a quorum.
func (w *Watcher) confirmedBy(replicas uint64) bool { return w.isQuorum(w.withPrimary(replicas)) }

// withPrimary adds the primary, which holds every position that replicas are queried for.
// A primary that is no longer listed is not added: quorums are counted without it.
func (w *Watcher) withPrimary(replicas uint64) uint64 {
	if p := w.findPoller(w.primary); p != nil {
		return replicas | p.bit()
	}
	return replicas
}

// bit identifies the polled member in bit sets.
func (p *poller) bit() uint64 { return 1 << p.index }
