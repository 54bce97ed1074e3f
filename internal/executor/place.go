package executor

import (
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/routing"
)

// pickReplica returns the member that suits a read best, or false when none may answer it. owner
// is whose connections alone may run it.
func (g *Group) pickReplica(owner string, n need, exclude map[string]bool) (group.MemberView, bool) {
	now := g.Clock.Now()
	r := routing.Read{
		Required:       n.position,
		Checked:        g.Wire.ChecksPosition,
		FailureDomain:  g.FailureDomain,
		Exclude:        exclude,
		Load:           func(address string) int { return g.loadAt(address, owner) },
		SpillToPrimary: g.spill(),
		Owner:          owner,
		Connected:      func(address string) bool { return g.Pool.Idle(address, owner) },
		Behind:         func(address string) bool { return g.behind.at(address, now) },
	}
	if n.maxAge > 0 {
		r.NotBefore = now.Add(-n.maxAge)
	}
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return routing.Replica(g.Tracker.Snapshot(), r, g.Random)
}

// spillAfter is how many statements of this instance a replica must have more than
// the primary before an aged read goes to the primary. With one replica of two lost,
// all aged reads of a group met the other one, whose queue then held up the
// confirmations of writes as well, while the primary had room.
const spillAfter = 2

// spill is how many statements busier replicas must be for a read to go to the
// primary; zero where a read there needs more than a position.
func (g *Group) spill() int {
	if g.Wire.ChecksPosition {
		return spillAfter
	}
	return 0
}

// fullLoad is the load of a member that takes no connection or fails what it is asked: any
// other goes before it.
const fullLoad = 1000

// loadAt is how many statements of this instance run at a member or wait for it, as one of an
// owner finds it.
func (g *Group) loadAt(address, owner string) int {
	load := g.running.at(address)
	if g.Pool.FullFor(address, owner) || g.failing.at(address, g.Clock.Now()) {
		load += fullLoad
	}
	if q, ok := g.Gate.(memberQueues); ok {
		load += q.Waiting(address)
	}
	return load
}

// memberQueues is a gate that keeps a queue for each member.
type memberQueues interface{ Waiting(member string) int }

// lostProbes is how many probes in a row must have failed for units not to be
// sent to a primary: as many as a failover needs.
const lostProbes = 3

// writablePrimary returns the primary if a write to it can be confirmed. A
// refusal before sending is worth more to a caller than an unknown outcome.
func (g *Group) writablePrimary() (*group.Snapshot, error) {
	s, err := g.findWritable()
	g.standby.found(g.lostSince(), err == nil)
	return s, err
}

// lostSince returns since when the known primary has failed, or now.
func (g *Group) lostSince() time.Time {
	s := g.Tracker.Snapshot()
	if m, known := s.Find(s.Primary); known && !m.Failing.IsZero() {
		return m.Failing
	}
	return g.Clock.Now()
}

// findWritable returns the present snapshot, with an error unless a write to its primary
// can be confirmed.
func (g *Group) findWritable() (*group.Snapshot, error) {
	s := g.Tracker.Snapshot()
	m, known := s.Find(s.Primary)
	if !known || m.Failures >= lostProbes {
		return s, result.New(result.NoPrimary, "group %s", g.Group).WithRetryAfter(retryAfterFailover)
	}
	if !g.confirmable(s) {
		return s, result.New(result.NoConfirmingReplica, "group %s", g.Group).WithRetryAfter(retryAfterFailover)
	}
	return s, nil
}

// confirmable reports whether replicas have answered lately, and get on: where
// none has for as long as a confirmation may take, none will in that time.
func (g *Group) confirmable(s *group.Snapshot) bool {
	now := g.Clock.Now()
	stalled := !s.StalledSince.IsZero() && now.Sub(s.StalledSince) > g.Service().Limits.ConfirmTimeout
	return now.Sub(s.ConfirmedAt) <= g.confirmationAge() && !stalled
}

// confirmationAge is how old the newest report of an attached replica may be for
// a write to be sent. A primary that no replica follows cannot have its writes
// confirmed, so sending one would only make an unknown outcome.
func (g *Group) confirmationAge() time.Duration {
	if g.ConfirmationAge > 0 {
		return g.ConfirmationAge
	}
	return defaultConfirmationAge
}

// defaultConfirmationAge is ten times the time between two polls of a replica.
const defaultConfirmationAge = time.Second
