package executor

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/homechoice"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// ownerHomes is what a Router needs to choose homes for units of owners of connections.
type ownerHomes struct {
	features   *features.Set
	affinity   *homechoice.Affinity
	unanswered *homechoice.Unanswered
	metrics    *homechoice.Metrics
}

// ChooseHomesByCost makes the router choose homes by cost where the feature is enabled. It must be
// called before units run. self is this instance.
func (r *Router) ChooseHomesByCost(s *features.Set, self platform.Instance, log hclog.Logger, m *homechoice.Metrics) {
	r.owners = ownerHomes{
		features:   s,
		affinity:   homechoice.NewAffinity(self, r.clock, log, m),
		unanswered: homechoice.NewUnanswered(r.clock, log),
		metrics:    m,
	}
}

// choosesByCost reports whether the unit's home is chosen by cost.
func (r *Router) choosesByCost(u *execution.Unit) bool {
	return u.ConnectionOwner != "" && r.owners.features.Enabled(features.SharedHomes)
}

// executeForOwner sends a unit of an owner to the home that is expected to serve it at the lowest
// cost, which may be another one although this instance is a home as well. It continues with the
// next home as forward does. A unit that the shared home refuses because its queue is full is passed
// on once, to the next home, and is marked so that this home does not pass it on again.
func (r *Router) executeForOwner(ctx context.Context, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	homes := r.homes.Homes(u.Group)
	ordered := r.orderForOwner(u, homes)
	unreachable := result.New(result.UpstreamUnreachable, "no home of group %s answers", u.Group).WithRetryAfter(retryAfterFailover)
	start := r.clock.Now()
	for _, home := range ordered {
		attempt := *u
		elapsed := r.clock.Now().Sub(start)
		attempt.Timeout -= elapsed
		attempt.SinceFirstAttempt += elapsed
		if attempt.Timeout <= 0 {
			break
		}
		reply, err := r.executeAt(ctx, home, &attempt, homes, partial)
		if err == nil {
			return reply, nil
		}
		if !unitNotStarted(err) {
			if !r.passesOn(&attempt, home, err) {
				return nil, forwardError(err)
			}
			u.Forwarded = true
		}
		unreachable = unreachable.WithCause(err)
	}
	return nil, r.metrics.countRefusal(u.Group, unreachable)
}

// orderForOwner returns the homes in the order in which they are tried. This instance is among them
// if it runs the group's units, even if the list of homes does not have it yet or any more.
func (r *Router) orderForOwner(u *execution.Unit, homes []platform.Instance) []platform.Instance {
	chosen, reason := r.owners.affinity.Order(u.Group, u.ConnectionOwner, homes)
	ordered := r.avoidedHomes.Order(r.clock.Now(), r.owners.unanswered.Order(chosen))
	if len(ordered) > 0 && ordered[0].ID != chosen[0].ID {
		reason = homechoice.ReasonUnreachable
	}
	r.owners.metrics.CountChoice(u.Group, reason)
	listed := false
	for _, home := range ordered {
		listed = listed || home.ID == r.selfID
	}
	if !listed && r.LocalGroup(u.Group) != nil {
		ordered = append(ordered[:len(ordered):len(ordered)], platform.Instance{ID: r.selfID})
	}
	return ordered
}

// executeAt runs a unit at a home, which may be this instance, and records what the home reports.
func (r *Router) executeAt(ctx context.Context, home platform.Instance, u *execution.Unit, homes []platform.Instance, partial func([]byte) error) (*execution.Reply, error) {
	start := r.clock.Now()
	r.owners.metrics.CountHop(u.Group, home.ID == r.selfID, r.owners.affinity.IsNear(home))
	reply, err := r.sendOrRun(ctx, home, u, partial)
	if err == nil {
		r.owners.affinity.Served(u.Group, u.ConnectionOwner, home, homes, reply.Home, r.clock.Now().Sub(start))
	}
	return reply, err
}

func (r *Router) sendOrRun(ctx context.Context, home platform.Instance, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	if home.ID == r.selfID {
		return r.runOwnUnit(ctx, u, partial)
	}
	defer r.addRemoteUnit(u.ID, remoteUnit{instance: home.ID, unitID: u.ID})()
	end := r.owners.unanswered.Sent(home)
	reply, err := r.sendUnit(ctx, home, u, partial)
	_, refused := result.As(err)
	end(err == nil || refused)
	if err != nil && ctx.Err() == nil {
		r.avoidLostHome(home, err)
	}
	return reply, err
}

// avoidLostHome is avoidFailedHome and also records a home that stopped answering: units that are
// sent on an established connection of a link that is cut would each wait for their timeouts.
func (r *Router) avoidLostHome(home platform.Instance, err error) {
	r.avoidFailedHome(home, err)
	if _, refused := result.As(err); !refused && !errors.Is(err, peer.ErrNotSent) {
		r.avoidedHomes.Add(home.ID, r.clock.Now().Add(homechoice.AvoidUnreachableFor))
	}
}

// runOwnUnit runs a unit of one of this instance's callers here.
func (r *Router) runOwnUnit(ctx context.Context, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	g := r.acquireGroup(u.Group)
	if g == nil {
		return nil, result.New(result.NotReady, "this instance is not home to group %s", u.Group)
	}
	defer g.finishUnit()
	start := r.clock.Now()
	reply, err := r.executeAtHome(ctx, g, u, partial)
	if err == nil {
		r.reportHome(g, u, reply, start)
	}
	return reply, err
}

// passesOn reports whether a unit that a home refused goes to the next one: once, if the home of
// another failure domain had no place in its queue, and if time for it is left.
func (r *Router) passesOn(u *execution.Unit, home platform.Instance, err error) bool {
	e, ok := result.As(err)
	if !ok || r.owners.affinity.IsNear(home) || !lacksRoom(e.Code) {
		return false
	}
	r.owners.affinity.Refused(u.Group, u.ConnectionOwner)
	// A home passes on what it has no connection for before it refuses it.
	return e.Code != result.TooManyConnections && !u.Forwarded && u.Timeout >= minRelayTime
}

// lacksRoom reports whether a home refused a unit before it ran because others are before it.
func lacksRoom(c result.Code) bool {
	switch c {
	case result.QueueFull, result.DeadlineTooShort, result.TooManyConnections:
		return true
	default:
		return false
	}
}

// connectionCosts is implemented by pools that measure the cost of connections.
type connectionCosts interface {
	OpenTime() time.Duration
	IdleLifetime() time.Duration
}

// reportHome adds this home's report to the reply of an owner's unit that began at start.
func (r *Router) reportHome(g *Group, u *execution.Unit, reply *execution.Reply, start time.Time) {
	reply.Home = nil
	costs, measured := g.Pool.(connectionCosts)
	if !measured || !r.choosesByCost(u) {
		return
	}
	now := r.clock.Now()
	reply.Home = &execution.HomeReport{
		OwnerRate:    g.ownerRates.Record(u.ConnectionOwner, now),
		IdleLifetime: min(costs.IdleLifetime(), maxReportedLifetime),
		OpenTime:     costs.OpenTime(),
		Spent:        now.Sub(start),
	}
}

// maxReportedLifetime bounds the reported lifetime of idle connections of a home that has closed
// none to make room: members close connections that were idle for about as long.
const maxReportedLifetime = time.Minute
