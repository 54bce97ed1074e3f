package executor

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// methodStanding asks a home what it can do for a group.
const methodStanding = "group.standing"

// maxReadRelays is how many homes a read is passed on to, one after the other. What
// writes goes on to a second one only if it did not leave this instance.
const maxReadRelays = 2

// leastRelayTime is the time that a unit must have left to be passed on: a few round
// trips between failure domains and a usual statement.
const leastRelayTime = 50 * time.Millisecond

// atHome runs a unit of a group that this instance is home to, and passes it on to a
// home that can serve it where this one cannot. Local service goes first: most of what
// is refused here for want of a primary waits for a promotion that nobody has done.
func (r *Router) atHome(ctx context.Context, g *Group, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	began := r.clock.Now()
	reply, err := g.Execute(ctx, u, partial)
	if err == nil || u.Relayed || g.homeFinder == nil || !relayable(err) {
		return reply, err
	}
	return r.relay(ctx, g, u, partial, began, err)
}

// relayable reports whether a unit did not run because of what this instance reaches.
func relayable(err error) bool {
	e, ok := result.As(err)
	if !ok {
		return false
	}
	switch e.Code {
	case result.NoPrimary, result.NoConfirmingReplica, result.NoReplicaFresh, result.TooManyConnections:
		return true
	default:
		return false
	}
}

// relay passes a unit that did not run here on to a home that says it can serve it.
// refusal is what this instance had to say, and still says where no home is found.
//
// A read goes on to a second home under another ID, and only while nothing of the first
// one's answer was passed on: pieces are told apart by the unit's ID, and the caller
// would take what comes from two homes for one answer.
func (r *Router) relay(ctx context.Context, g *Group, u *execution.Unit, partial func([]byte) error, began time.Time, refusal error) (*execution.Reply, error) {
	for attempt := 1; attempt <= maxReadRelays; attempt++ {
		passed := *u
		passed.Relayed = true
		passed.ID = u.ID + relaySeparator + strconv.Itoa(attempt)
		elapsed := r.clock.Now().Sub(began)
		passed.Timeout = u.Timeout - elapsed
		passed.Waited = u.Waited + elapsed
		if passed.Timeout < leastRelayTime {
			return nil, refusal
		}
		home, ok := g.homeFinder.find(ctx, u)
		if !ok {
			return nil, refusal
		}
		var started atomic.Bool
		back := r.setAway(u.ID, awayUnit{instance: home.ID, id: passed.ID})
		reply, err := r.send(ctx, home, &passed, func(p []byte) error {
			started.Store(true)
			return partial(p)
		})
		back()
		r.metrics.relayed(u.Group, err)
		if err == nil {
			return reply, nil
		}
		g.homeFinder.failed(home)
		g.Logger.Info("Unit was passed on and not served.", "request", u.Request, "unit", u.ID, "group", u.Group, "home", home.ID, "error", err)
		refusal = relayFailed(refusal, err)
		if !mayRelayAgain(u, started.Load(), err) {
			return nil, refusal
		}
	}
	return nil, refusal
}

// mayRelayAgain reports whether a unit that a home did not serve may go on to another
// one: not behind a part of the first one's answer, and what writes only if it did not
// leave this instance.
func mayRelayAgain(u *execution.Unit, started bool, err error) bool {
	if started {
		return false
	}
	return u.OnlyReads() || errors.Is(err, peer.ErrNotSent)
}

// relaySeparator stands behind a unit's ID, in front of the number of the relay.
const relaySeparator = "~"

// relayFailed returns what a caller is told after one more home has failed: what the
// home said, unless an earlier one may have run the unit, which stays true.
func relayFailed(before, err error) error {
	if errors.Is(err, peer.ErrNotSent) {
		return before
	}
	if e, ok := result.As(before); ok && e.Code.Family() != result.FamilyDidNotRun {
		return before
	}
	return forwardFailed(err)
}

// newGroupHomeFinder returns the home finder of a group that this instance is home to.
func (r *Router) newGroupHomeFinder(g *Group) *homeFinder {
	homes := func() []platform.Instance {
		var others []platform.Instance
		for _, home := range r.homes.Homes(g.Group) {
			if home.ID != r.self {
				others = append(others, home)
			}
		}
		return others
	}
	ask := func(ctx context.Context, home platform.Instance) (standing, error) {
		var s standing
		err := r.caller.Call(ctx, home.PeerAddress, methodStanding, reference{Group: g.Group}, &s)
		return s, err
	}
	return newHomeFinder(r.clock, g.forkRandom(), homes, ask)
}

// serveStanding answers another home's finder.
func (r *Router) serveStanding(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var ref reference
	if err := json.Unmarshal(params, &ref); err != nil {
		return nil, err
	}
	g := r.Local(ref.Group)
	if g == nil {
		return standing{}, nil
	}
	return g.standing(), nil
}
