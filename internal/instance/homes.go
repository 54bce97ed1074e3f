package instance

import (
	"context"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/membership"
	"github.com/topazrock/topazrock/internal/shares"
)

// reconcileInterval is the maximum time between two reconciliations. Each change of
// documents or instances triggers one as well.
const reconcileInterval = time.Second

// runHomes reconciles the set of homes with the documents and instances until ctx ends.
func (n *Instance) runHomes(ctx context.Context) {
	timer := n.options.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.reconcileRequested:
		case <-timer.C:
		}
		n.reconcile(ctx)
		timer.Reset(reconcileInterval)
	}
}

// requestReconcile triggers a reconciliation without blocking.
func (n *Instance) requestReconcile() {
	select {
	case n.reconcileRequested <- struct{}{}:
	default:
	}
}

// reconcile starts the homes that are missing, and retires those that are no longer wanted
// or whose members changed.
func (n *Instance) reconcile(ctx context.Context) {
	n.observeConditions()
	n.updatePlacements()
	wanted := n.wantedGroups()
	for name, h := range n.homesCopy() {
		w, ok := wanted[name]
		if !ok || !n.protocol.DynamicMembers && !sameMembers(w.Group, h.group) {
			n.retire(ctx, h)
		}
	}
	for name, w := range wanted {
		h := n.home(name)
		if h == nil {
			h = n.addHome(w)
		}
		if h != nil {
			n.updateHome(h, w)
		}
	}
}

// updatePlacements sets how many instances are homes to each group, and in which failure domains,
// if members limit their own connections.
func (n *Instance) updatePlacements() {
	if !n.protocol.MembersLimitConnections {
		return
	}
	groups := n.documents.Groups()
	fleet := fleetSizeOf(n.members.Live())
	few := n.homeDensity.update(groups, n.groupCount(groups), fleet)
	from := placementInput{groups: groups, fleet: fleet, few: few}
	if from.equal(n.placedFrom) {
		return
	}
	n.placedFrom = from
	n.members.SetPlacements(placements(groups, fleet, few))
}

// placementInput is what placements are computed from.
type placementInput struct {
	groups []VersionedGroup
	fleet  fleetSize
	few    bool
}

// equal reports whether two inputs are the same. Lists of groups are compared by identity: comparing a
// thousand groups each second would cost as much as placing them.
func (p placementInput) equal(other placementInput) bool {
	sameGroups := len(p.groups) == len(other.groups) && (len(p.groups) == 0 || &p.groups[0] == &other.groups[0])
	return sameGroups && p.fleet == other.fleet && p.few == other.few
}

// groupCounter is implemented by Documents that know of groups before their members are known.
type groupCounter interface{ GroupCount() int }

// groupCount returns the number of groups, those included whose members are not known.
func (n *Instance) groupCount(known []VersionedGroup) int {
	if c, ok := n.documents.(groupCounter); ok {
		return c.GroupCount()
	}
	return len(known)
}

// placements returns where the homes of each group are. Groups whose members do not limit their
// connections are left out.
func placements(groups []VersionedGroup, fleet fleetSize, few bool) map[string]membership.Placement {
	byGroup := make(map[string]membership.Placement, len(groups))
	for _, g := range groups {
		count := homesPerDomain(g.Group, fleet)
		switch {
		case count == 0:
		case few:
			byGroup[g.Name] = fewHomes(g.Group)
		default:
			byGroup[g.Name] = membership.Placement{PerDomain: count}
		}
	}
	return byGroup
}

// connectionShareOf returns this instance's share of the connections to a member of a
// group. Until the other instances are known it is at most defaultShare: otherwise each
// instance that starts during an outage of the platform would use all connections.
func (n *Instance) connectionShareOf(group string, total int) int {
	share := evenShare(total, n.members.Homes(group), n.self())
	if !n.members.IsLoaded() {
		return min(share, defaultShare)
	}
	return share
}

// reserveOf returns the reserve at each member of a group; the zero Reserve if the feature is not in
// use.
func (n *Instance) reserveOf(group string, a shares.Allocation) shares.Reserve {
	if !n.features.Enabled(features.ConnectionReserve) {
		return shares.Reserve{}
	}
	slots := a.Total.Slots / max(a.Members, 1)
	return shares.NewReserve(a.PerMember, slots, len(n.members.Homes(group)), controlConnsPerMember)
}

// wantedGroups returns the groups that this instance should be home to.
func (n *Instance) wantedGroups() map[string]VersionedGroup {
	wanted := make(map[string]VersionedGroup)
	groups := n.documents.Groups()
	if n.registry != nil && n.listWait.pending(n.options.Clock.Now(), len(groups), n.members.IsLoaded()) {
		return wanted
	}
	for _, g := range groups {
		if n.members.IsHome(g.Name) {
			wanted[g.Name] = g
		}
	}
	return wanted
}

func sameMembers(a, b document.Group) bool { return slices.Equal(a.Members, b.Members) }

// addHome starts a home. It returns nil while an earlier home of the group is still
// stopping, because the two would use the connections of two shares.
func (n *Instance) addHome(w VersionedGroup) *home {
	n.mu.Lock()
	stopping := n.stopping[w.Name]
	n.mu.Unlock()
	if stopping {
		return nil
	}
	h := n.newHome(w.Group, w.Version)
	n.mu.Lock()
	n.homesByGroup[w.Name] = h
	n.mu.Unlock()
	h.start()
	n.options.Logger.Info("Home of a group was started.", "group", w.Name)
	return h
}

// updateHome applies what may change while a home runs: the group's limits and members, and
// which members are leaving.
func (n *Instance) updateHome(h *home, w VersionedGroup) {
	var leaving []string
	for _, m := range w.Members {
		if n.documents.IsLeaving(w.Name, m.Address) {
			leaving = append(leaving, m.Address)
		}
	}
	if n.protocol.DynamicMembers {
		h.watcher.SetMembers(w.Members, w.MinSize)
	}
	h.watcher.SetLeaving(leaving)
	h.pool.SetLeaving(leaving)
	h.share.SetAllocation(allocation(w.Group, w.Version))
}

// retire rejects new units at once. The home stops when its running units and open
// transactions have ended; transactions that are still open after retireTimeout are rolled back.
func (n *Instance) retire(ctx context.Context, h *home) {
	n.router.RetireGroup(h.group.Name)
	n.mu.Lock()
	delete(n.homesByGroup, h.group.Name)
	n.stopping[h.group.Name] = true
	n.mu.Unlock()
	n.options.Logger.Info("Home of a group is retired.", "group", h.group.Name)
	n.running.Go(func() { n.drainRetired(ctx, h) })
}

func (n *Instance) drainRetired(ctx context.Context, h *home) {
	deadline := n.options.Clock.Now().Add(retireTimeout)
	for h.executor.Busy() && n.options.Clock.Now().Before(deadline) {
		if clock.Sleep(ctx, n.options.Clock, retirePollInterval) != nil {
			break
		}
	}
	n.router.RemoveGroup(h.executor)
	// No unit finds the group any more, so nothing else would end its transactions.
	h.executor.DiscardTransactions()
	n.stopHome(ctx, h)
	n.mu.Lock()
	delete(n.stopping, h.group.Name)
	n.mu.Unlock()
	n.requestReconcile()
}

// stopHome stops a home. If its share cannot be released on the platform, it retries until
// ctx ends.
func (n *Instance) stopHome(ctx context.Context, h *home) {
	n.progress.run("stop home of group "+h.group.Name, func() { n.releaseHome(ctx, h) })
	n.shareDirectory.Remove(h.group.Name)
}

// releaseHome makes the attempts of stopHome.
func (n *Instance) releaseHome(ctx context.Context, h *home) {
	for {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		err := h.stop(bounded)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		n.options.Logger.Warn("Releasing the share of a group failed, retrying.", "group", h.group.Name, "error", err)
		if clock.Sleep(ctx, n.options.Clock, stopTimeout) != nil {
			return
		}
		// A unit that was still running may have opened another transaction.
		h.executor.DiscardTransactions()
	}
}

const (
	// retirePollInterval is the time between two checks of whether a retired home still
	// runs units.
	retirePollInterval = 50 * time.Millisecond
	// stopTimeout bounds one attempt to stop a home, and the forwarding of a cancel
	// request.
	stopTimeout = 2 * time.Second
)
