package executor

import (
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/memberchoice"
	"github.com/topazrock/topazrock/internal/result"
)

// pickReadMember returns the member that suits a read best, or false if none may answer it. owner
// restricts the read to connections of that owner; empty if connections are shared.
func (g *Group) pickReadMember(owner string, req readRequirement, exclude map[string]bool) (group.MemberView, bool) {
	return g.chooser.Choose(memberchoice.Read{Owner: owner, Position: req.position, MaxAge: req.maxAge, Mark: req.mark,
		Repeatable: req.repeatable, Exclude: exclude})
}

// newChooser returns the chooser of members for the group's reads.
func (g *Group) newChooser() *memberchoice.Chooser {
	return memberchoice.New(memberchoice.Config{
		FailureDomain:  g.FailureDomain,
		Tracker:        g.Tracker,
		Clock:          g.Clock,
		Random:         g.Random,
		ChecksPosition: g.Wire.ChecksPosition,
		Running:        g.runningUnits.loadOf,
		Waiting:        g.queuedFor,
		HasIdle:        func(address, owner string) bool { return g.Pool.HasIdle(address, owner) },
		Full:           func(address, owner string) bool { return g.Pool.FullForWorkspace(address, owner) },
		Lagging:        g.laggingReplicas,
		Failing:        g.failingMembers,
		Health:         g.Health,
		Positions:      g.positions,
	})
}

// queuedFor returns how many requests wait for a slot of a member; zero if the gate keeps no queue
// for each member.
func (g *Group) queuedFor(address string) int {
	if q, ok := g.Gate.(memberQueues); ok {
		return q.Waiting(address)
	}
	return 0
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
