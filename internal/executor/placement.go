package executor

import (
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/routing"
)

// pickReadMember returns the member that suits a read best, or false if none may answer it. owner
// restricts the read to connections of that owner; empty if connections are shared.
func (g *Group) pickReadMember(owner string, req readRequirement, exclude map[string]bool) (group.MemberView, bool) {
	now := g.Clock.Now()
	r := routing.Read{
		Required:             req.position,
		MemberChecksPosition: g.Wire.ChecksPosition,
		FailureDomain:        g.FailureDomain,
		Exclude:              exclude,
		Load:                 func(address string) int { return g.memberLoad(address, owner) },
		SpillToPrimary:       g.primarySpill(),
		Owner:                owner,
		HasIdleConnection:    func(address string) bool { return g.Pool.HasIdle(address, owner) },
		Lagging:              func(address string) bool { return g.laggingReplicas.isLagging(address, now) },
	}
	if req.maxAge > 0 {
		r.NotBefore = now.Add(-req.maxAge)
	}
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return routing.ChooseMember(g.Tracker.Snapshot(), r, g.Random)
}

// spillThreshold is how many more statements of this instance than the primary a replica must have
// before a bounded-staleness read goes to the primary. Without spilling, the loss of one of two
// replicas sends all such reads of a group to the other one, whose queue then also delays the
// confirmation of writes while the primary has free capacity.
const spillThreshold = 2

// primarySpill returns spillThreshold, or zero to keep reads off the primary if members do not
// check positions: a read at the primary then needs more than a log position.
func (g *Group) primarySpill() int {
	if g.Wire.ChecksPosition {
		return spillThreshold
	}
	return 0
}

// unavailableLoad is added to the load of a member that accepts no connection or at which reads
// fail, so that any other member is preferred.
const unavailableLoad = 1000

// memberLoad returns how many statements of this instance run at a member or are queued for it.
// It adds unavailableLoad if the owner cannot get a connection or if reads fail at the member.
func (g *Group) memberLoad(address, owner string) int {
	load := g.runningUnits.loadOf(address)
	if g.Pool.FullForWorkspace(address, owner) || g.failingMembers.isAvoided(address, g.Clock.Now()) {
		load += unavailableLoad
	}
	if q, ok := g.Gate.(memberQueues); ok {
		load += q.Waiting(address)
	}
	return load
}

// memberQueues is implemented by gates that keep a queue for each member.
type memberQueues interface{ Waiting(member string) int }

// lostPrimaryProbes is the number of consecutive failed probes after which no units are sent to a
// primary: as many as a failover requires.
const lostPrimaryProbes = 3

// writablePrimary returns a snapshot whose primary can have writes confirmed, and records in
// primaryWait whether there is one. A refusal before sending is better for a caller than an
// unknown outcome.
func (g *Group) writablePrimary() (*group.Snapshot, error) {
	s, err := g.findWritablePrimary()
	g.primaryWait.recordPrimary(g.primaryMissingSince(), err == nil)
	return s, err
}

// primaryMissingSince returns since when the known primary has failed its probes; if it has not, or
// if no primary is known, it returns the current time.
func (g *Group) primaryMissingSince() time.Time {
	s := g.Tracker.Snapshot()
	if m, known := s.FindMember(s.Primary); known && !m.FailingSince.IsZero() {
		return m.FailingSince
	}
	return g.Clock.Now()
}

// findWritablePrimary returns the current snapshot, with an error unless a write to its primary
// can be confirmed.
func (g *Group) findWritablePrimary() (*group.Snapshot, error) {
	s := g.Tracker.Snapshot()
	m, known := s.FindMember(s.Primary)
	if !known || m.Failures >= lostPrimaryProbes {
		return s, result.New(result.NoPrimary, "group %s", g.Group).WithRetryAfter(retryAfterFailover)
	}
	if !g.canConfirmWrites(s) {
		return s, result.New(result.NoConfirmingReplica, "group %s", g.Group).WithRetryAfter(retryAfterFailover)
	}
	return s, nil
}

// canConfirmWrites reports whether replicas have answered recently and make progress. If they have
// been stalled for longer than a confirmation may take, the next write is unlikely to be confirmed
// in time.
func (g *Group) canConfirmWrites(s *group.Snapshot) bool {
	now := g.Clock.Now()
	stalled := !s.StalledSince.IsZero() && now.Sub(s.StalledSince) > g.Service().Limits.ConfirmTimeout
	return now.Sub(s.QuorumAttachedAt) <= g.maxConfirmationAge() && !stalled
}

// maxConfirmationAge is the maximum age of the newest report of an attached replica for a write
// to be sent. The writes of a primary that no replica follows cannot be confirmed, so sending one
// would only produce an unknown outcome.
func (g *Group) maxConfirmationAge() time.Duration {
	if g.ConfirmationAge > 0 {
		return g.ConfirmationAge
	}
	return defaultConfirmationAge
}

// defaultConfirmationAge is ten times the interval between two polls of a replica.
const defaultConfirmationAge = time.Second
