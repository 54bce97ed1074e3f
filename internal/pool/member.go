package pool

import (
	"math/rand/v2"
	"slices"
	"time"
)

// memberState is the pool's state for one member.
type memberState struct {
	address string
	leaving bool
	// idle is ordered by last use, the most recent at the end.
	idle    []*pooledConn
	inUse   int
	opening int
	probing int
	// replacing counts closings in progress that free capacity at the member for another
	// workspace.
	replacing int
	// workspaces holds the same counts by workspace.
	workspaces map[string]*workspaceCounts
	// usage holds the recent uses of the member by workspace.
	usage map[string]usage
	// backoff is the length, before jitter, of the backoff after the last failed opening;
	// zero after an opening that succeeded.
	backoff      time.Duration
	backoffUntil time.Time
	// reportedFull reports that the last opening failed because the member answered "too
	// many connections". It is false if the member could not be reached.
	reportedFull bool
}

// total returns the number of connections to the member that count against the limits,
// without those that are closing.
func (m *memberState) total() int { return len(m.idle) + m.inUse + m.opening + m.probing }

// popIdle removes and returns the workspace's most recently used idle connection; nil if
// there is none.
func (m *memberState) popIdle(workspace string) *pooledConn {
	if counts := m.workspaces[workspace]; counts == nil || counts.idle == 0 {
		return nil
	}
	for n := len(m.idle) - 1; n >= 0; n-- {
		if m.idle[n].workspace == workspace {
			return m.removeIdleAt(n)
		}
	}
	return nil
}

// popOldestIdle removes and returns the least recently used idle connection.
func (m *memberState) popOldestIdle() *pooledConn { return m.removeIdleAt(0) }

// popOldestIdleOf removes and returns the workspace's least recently used idle connection.
// There must be one.
func (m *memberState) popOldestIdleOf(workspace string) *pooledConn {
	return m.removeIdleAt(slices.IndexFunc(m.idle, func(pc *pooledConn) bool { return pc.workspace == workspace }))
}

// removeIdleAt removes and returns the idle connection at index n.
func (m *memberState) removeIdleAt(n int) *pooledConn {
	pc := m.idle[n]
	m.idle = slices.Delete(m.idle, n, n+1)
	counts := m.countsFor(pc.workspace)
	counts.idle--
	counts.minIdle = min(counts.minIdle, counts.idle)
	return pc
}

// addIdle adds a connection as the most recently used one.
func (m *memberState) addIdle(pc *pooledConn) {
	m.idle = append(m.idle, pc)
	m.countsFor(pc.workspace).idle++
}

// mayOpen reports whether an opening may start now.
func (m *memberState) mayOpen(now time.Time) bool {
	if m.leaving || now.Before(m.backoffUntil) {
		return false
	}
	// After a failure only one opening at a time is tried: otherwise each end of a backoff
	// would send a burst to a member that is full or has just restarted.
	return m.backoff == 0 || m.opening == 0
}

// repeatedlyFull reports whether the member keeps refusing openings as full: at least two
// in a row have failed, and the last one was refused as full. This is derived from the
// backoff, which exceeds the shortest one only after a second failure.
func (m *memberState) repeatedlyFull(minBackoff time.Duration) bool {
	return m.reportedFull && m.backoff > minBackoff
}

// extendBackoff starts a backoff after a failed opening. It is twice as long as the
// previous one, within the bounds, and jittered between half of that and the whole.
func (m *memberState) extendBackoff(now time.Time, r *rand.Rand, minBackoff, maxBackoff time.Duration) {
	m.backoff = min(max(2*m.backoff, minBackoff), maxBackoff)
	half := m.backoff / 2
	m.backoffUntil = now.Add(half + time.Duration(r.Int64N(int64(half)+1)))
}

// resetBackoff ends the backoff after an opening that succeeded.
func (m *memberState) resetBackoff() {
	m.backoff = 0
	m.backoffUntil = time.Time{}
	m.reportedFull = false
}
