package instance

import (
	"context"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
)

// reconcileInterval is how often homes are compared with what they should be,
// besides every change of documents and instances.
const reconcileInterval = time.Second

// runHomes keeps the set of homes in step with documents and instances.
func (n *Instance) runHomes(ctx context.Context) {
	timer := n.options.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.changed:
		case <-timer.C:
		}
		n.reconcile(ctx)
		timer.Reset(reconcileInterval)
	}
}

// noteChange asks for a comparison soon. It never blocks.
func (n *Instance) noteChange() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// reconcile starts the homes that are missing and retires those that are not
// wanted or whose members changed.
func (n *Instance) reconcile(ctx context.Context) {
	wanted := n.wantedGroups()
	for name, h := range n.homesCopy() {
		g, ok := wanted[name]
		if !ok || !sameMembers(g, h.group) {
			n.retire(ctx, h)
		}
	}
	for name, g := range wanted {
		h := n.home(name)
		if h == nil {
			h = n.addHome(ctx, g)
		}
		n.adjust(h, g)
	}
}

// wantedGroups returns the groups that this instance should be home to.
func (n *Instance) wantedGroups() map[string]document.Group {
	wanted := make(map[string]document.Group)
	for _, s := range n.documents.services() {
		for _, g := range s.Groups {
			if n.members.IsHome(g.Name) {
				wanted[g.Name] = g
			}
		}
	}
	return wanted
}

func sameMembers(a, b document.Group) bool { return slices.Equal(a.Members, b.Members) }

func (n *Instance) addHome(ctx context.Context, g document.Group) *home {
	h := n.newHome(g)
	n.adjust(h, g)
	h.start(ctx)
	n.mu.Lock()
	n.homeOf[g.Name] = h
	n.mu.Unlock()
	n.router.Add(h.executor)
	n.options.Logger.Info("Home of a group was started.", "group", g.Name)
	return h
}

// adjust passes on what may change while a home runs: limits and leaving members.
func (n *Instance) adjust(h *home, g document.Group) {
	var leaving []string
	for _, m := range g.Members {
		if n.members.Leaving(m.Address) {
			leaving = append(leaving, m.Address)
		}
	}
	h.watcher.SetLeaving(leaving)
	h.pool.SetLeaving(leaving)
	homeCount := max(1, len(n.members.Homes(g.Name)))
	h.pool.SetLimit(max(1, g.Connections/homeCount-len(g.Members)))
	h.gate.SetSlots(max(1, g.Slots/homeCount))
}

// retire stops new units at once and the home itself when the units at work and
// the open transactions have ended.
func (n *Instance) retire(ctx context.Context, h *home) {
	n.router.Retire(h.group.Name)
	n.mu.Lock()
	delete(n.homeOf, h.group.Name)
	n.mu.Unlock()
	n.options.Logger.Info("Home of a group is retired.", "group", h.group.Name)
	n.running.Go(func() { n.finishRetired(ctx, h) })
}

func (n *Instance) finishRetired(ctx context.Context, h *home) {
	deadline := n.options.Clock.Now().Add(retireTimeout)
	for h.executor.Busy() && n.options.Clock.Now().Before(deadline) {
		if clock.Sleep(ctx, n.options.Clock, retirePoll) != nil {
			break
		}
	}
	n.router.Remove(h.executor)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	h.stop(stopCtx)
}

const (
	// retirePoll is the time between two looks at a retired home's transactions.
	retirePoll = 50 * time.Millisecond
	// stopTimeout bounds the closing of a home's connections.
	stopTimeout = 2 * time.Second
)
