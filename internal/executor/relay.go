package executor

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/homechoice"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// methodCapability asks a home what it can do for a group.
const methodCapability = "group.standing"

// maxReadRelays is how many homes a read is passed on to, one after the other. A unit that writes
// is passed on to a second home only if the first did not start it.
const maxReadRelays = 2

// minRelayTime is the time that a unit must have left to be passed on: a few round trips between
// failure domains and a usual statement.
const minRelayTime = 50 * time.Millisecond

// executeAtHome runs a unit of a group that this instance is home to. If this instance cannot serve
// the unit, it passes the unit on to a home that can. Local execution is tried first: most units
// that are refused here for lack of a primary would be refused by any home, because no replica has
// been promoted yet.
func (r *Router) executeAtHome(ctx context.Context, g *Group, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	start := r.clock.Now()
	reply, err := g.Execute(ctx, u, partial)
	if err == nil || u.Forwarded || g.homeFinder == nil || !relayable(err) {
		return reply, err
	}
	return r.relay(ctx, g, u, partial, start, err)
}

// relayable reports whether a unit did not run because of what this instance can reach.
func relayable(err error) bool {
	e, ok := result.As(err)
	if !ok {
		return false
	}
	switch e.Code {
	case result.NoPrimary, result.NoConfirmingReplica, result.NoFreshReplica, result.TooManyConnections:
		return true
	default:
		return false
	}
}

// relay passes a unit that did not run here on to a home that reports that it can serve it.
// refusal is this instance's own error. It is returned if no such home is found.
//
// A read is passed on to a second home under another ID, and only if no part of the first home's
// answer was passed on: answer chunks are matched by unit ID, and the caller would take chunks
// from two homes for one answer.
func (r *Router) relay(ctx context.Context, g *Group, u *execution.Unit, partial func([]byte) error, start time.Time, refusal error) (*execution.Reply, error) {
	for attempt := 1; attempt <= maxReadRelays; attempt++ {
		relayedUnit := *u
		relayedUnit.Forwarded = true
		relayedUnit.ID = u.ID + relaySeparator + strconv.Itoa(attempt)
		elapsed := r.clock.Now().Sub(start)
		relayedUnit.Timeout = u.Timeout - elapsed
		relayedUnit.SinceFirstAttempt = u.SinceFirstAttempt + elapsed
		if relayedUnit.Timeout < minRelayTime {
			return nil, refusal
		}
		home, ok := g.homeFinder.FindHome(ctx, u)
		if !ok {
			return nil, refusal
		}
		var answerStarted atomic.Bool
		removeRemoteUnit := r.addRemoteUnit(u.ID, remoteUnit{instance: home.ID, unitID: relayedUnit.ID})
		reply, err := r.sendUnit(ctx, home, &relayedUnit, func(p []byte) error {
			answerStarted.Store(true)
			return partial(p)
		})
		removeRemoteUnit()
		r.metrics.countRelay(u.Group, err)
		if err == nil {
			return reply, nil
		}
		if callerLeft(err) {
			return nil, err
		}
		g.homeFinder.ForgetHome(home)
		g.Logger.Info("Relaying a unit to another home failed.", "request", u.RequestName, "unit", u.ID, "group", u.Group, "home", home.ID, "error", err)
		refusal = relayError(refusal, err)
		if !mayRelayAgain(u, answerStarted.Load(), err) {
			return nil, refusal
		}
	}
	return nil, refusal
}

// mayRelayAgain reports whether a unit that a home did not serve may be passed on to another one:
// not if part of the first home's answer was passed on, and a write only if the home did not start it.
func mayRelayAgain(u *execution.Unit, answerStarted bool, err error) bool {
	if answerStarted {
		return false
	}
	return u.IsReadOnly() || unitNotStarted(err)
}

// relaySeparator separates a unit's ID from the number of the relay.
const relaySeparator = "~"

// relayError returns the error for the caller after another home has failed. This is that home's
// error, unless it did not start the unit or an earlier home may have run the unit; in both cases
// the previous error is kept. A home's refusal to start units says nothing about this instance, but
// instances that forward units here would take it for that.
func relayError(previous, err error) error {
	if unitNotStarted(err) {
		return previous
	}
	if e, ok := result.As(previous); ok && e.Code.Family() != result.FamilyDidNotRun {
		return previous
	}
	return forwardError(err)
}

// newGroupHomeFinder returns the home finder of a group that this instance is home to.
func (r *Router) newGroupHomeFinder(g *Group) *homechoice.Finder {
	homes := func() []platform.Instance {
		var others []platform.Instance
		for _, home := range r.homes.Homes(g.Group) {
			if home.ID != r.selfID {
				others = append(others, home)
			}
		}
		return others
	}
	query := func(ctx context.Context, home platform.Instance) (capability, error) {
		var answer capability
		err := r.peerClient.Call(ctx, home.PeerAddress, methodCapability, objectRef{Group: g.Group}, &answer)
		return answer, err
	}
	return homechoice.NewFinder(r.clock, g.chooser.ForkRandom(), homes, query)
}

// serveCapability answers the home finder of another home. A home that refuses peers' units can
// serve none, whatever it can do for its own callers.
func (r *Router) serveCapability(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var ref objectRef
	if err := json.Unmarshal(params, &ref); err != nil {
		return nil, err
	}
	g := r.LocalGroup(ref.Group)
	if g == nil || r.refusesPeers() || g.awaitsLostConnections() {
		return capability{}, nil
	}
	return g.currentCapability(), nil
}
