package executor

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/homechoice"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// homeLoads is what a Router needs to choose homes by their loads.
type homeLoads struct {
	features *features.Set
	loads    *homechoice.Loads
}

// BalanceHomes makes the router choose homes by their loads where the feature is enabled. It must be
// called before units run. self is this instance; random must not be used elsewhere.
func (r *Router) BalanceHomes(s *features.Set, self platform.Instance, random *rand.Rand, log hclog.Logger, m *homechoice.Metrics) {
	r.homeLoads = homeLoads{features: s, loads: homechoice.NewLoads(self, r.clock, random, log, m)}
}

// choosesByLoad reports whether the unit's home is chosen by load.
func (r *Router) choosesByLoad(u *execution.Unit) bool {
	return u.ConnectionOwner == "" && u.Transaction == "" && r.homeLoads.features.Enabled(features.HomeBalancing)
}

func loadKey(u *execution.Unit) homechoice.LoadKey {
	return homechoice.LoadKey{Group: u.Group, Class: u.Class, ReadOnly: u.IsReadOnly()}
}

// orderByLoad returns the homes in the order in which they are tried for a unit. Avoided homes come
// last, whatever they reported before.
func (r *Router) orderByLoad(u *execution.Unit, homes []platform.Instance) []platform.Instance {
	if !r.choosesByLoad(u) {
		return homes
	}
	return r.avoidedHomes.Order(r.clock.Now(), r.homeLoads.loads.Order(loadKey(u), homes))
}

// sendByLoad sends a unit to a home and records what this shows of the home's load.
func (r *Router) sendByLoad(ctx context.Context, home platform.Instance, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	if !r.choosesByLoad(u) {
		return r.sendUnit(ctx, home, u, partial)
	}
	key, start := loadKey(u), r.clock.Now()
	r.homeLoads.loads.Sent(key, home)
	reply, err := r.sendUnit(ctx, home, u, partial)
	switch {
	case err == nil:
		r.homeLoads.loads.Served(key, home, reply.Load, r.clock.Now().Sub(start))
	case isRoomRefusal(err):
		r.homeLoads.loads.Refused(key, home, u.Timeout)
	}
	return reply, err
}

// isRoomRefusal reports whether a unit did not run because the home had no room for it.
func isRoomRefusal(err error) bool {
	e, ok := result.As(err)
	return ok && (lacksRoom(e.Code) || e.Code == result.QueueTimeout)
}

// outlooks is implemented by gates that estimate the wait for a member's slots.
type outlooks interface {
	Outlook(admission.Request) (admission.Outlook, bool)
}

// reportLoad adds this home's load to the reply of a unit that began at start.
func (r *Router) reportLoad(g *Group, u *execution.Unit, reply *execution.Reply, start time.Time) {
	reply.Load = nil
	gate, ok := g.Gate.(outlooks)
	if !ok || !r.choosesByLoad(u) {
		return
	}
	p, err := newPlan(g.Service(), u)
	if err != nil {
		return
	}
	now := g.Clock.Now()
	if p.objective > 0 {
		p.objectiveDeadline = now.Add(p.objective)
	}
	var best admission.Outlook
	found := false
	for _, m := range g.servingMembers(p) {
		o, admits := gate.Outlook(p.admissionRequest(now.Add(p.timeout), m, false))
		switch {
		case !admits:
		case found:
			best = best.OrElse(o)
		default:
			best, found = o, true
		}
	}
	if found {
		reply.Load = &execution.LoadReport{Free: best.Free, Wait: best.Wait, Step: best.Step, Spent: now.Sub(start)}
	}
}

// servingMembers returns the addresses of the members that could serve a unit: the primary, or for reads
// those that answer probes.
func (g *Group) servingMembers(p plan) []string {
	s := g.Tracker.Snapshot()
	if p.needsPrimary() {
		return []string{s.Primary}
	}
	var addresses []string
	for _, m := range s.Members {
		if m.FailingSince.IsZero() && !m.Leaving {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}
