package instance

import (
	"context"
	"slices"
	"strings"

	"github.com/topazrock/topazrock/internal/adminapi"
	"github.com/topazrock/topazrock/internal/build"
	"github.com/topazrock/topazrock/internal/config"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/platform"
)

// newAdmin builds the administration API on top of the instance's components.
func (n *Instance) newAdmin() *adminapi.Server {
	s := n.options.Settings
	identity := adminapi.Identity{
		ID:            s.Instance.ID,
		FailureDomain: s.Instance.FailureDomain,
		Build:         build.Version(),
	}
	stored := adminDocuments{n.store}
	parts := adminapi.Dependencies{
		Identity:     identity,
		Documents:    stored,
		Fleet:        adminapi.NewPeerFleet(identity, adminInventory{n}, n.client, stored),
		Groups:       adminGroups{n},
		MemberHealth: n.memberHealthOf,
		Pools:        adminPools{n},
		Workspaces:   adminWorkspaces{n},
		Peers:        adminPeers{n},
		Lifecycle:    adminLifecycle{n},
		Metrics:      n.options.Registry,
	}
	c := adminapi.Config{Address: s.Admin.Address, Token: s.Admin.AccessToken}
	return adminapi.New(c, parts, n.options.Network, n.options.Clock, n.options.Logger)
}

// adminInventory lists instances for the administration API. While the platform does not
// answer it returns the last known list, so that an operator can still ask these instances
// what is in force.
type adminInventory struct{ instance *Instance }

// Inventory implements adminapi.InventoryReader.
func (i adminInventory) Inventory(ctx context.Context) (platform.Inventory, error) {
	list, err := i.instance.options.Platform.Inventory(ctx)
	if err != nil {
		return platform.Inventory{Instances: i.instance.members.Live()}, nil
	}
	return list, nil
}

// adminDocuments gives the administration API access to the document store.
type adminDocuments struct{ store *config.Store }

// List implements adminapi.Documents.
func (d adminDocuments) List() []adminapi.DocumentInfo {
	var list []adminapi.DocumentInfo
	for _, a := range d.store.All() {
		list = append(list, adminapi.DocumentInfo{Name: a.Name, Version: a.Version})
	}
	return list
}

// Get implements adminapi.Documents.
func (d adminDocuments) Get(ctx context.Context, name string) (adminapi.Document, error) {
	a, err := d.store.Highest(ctx, name)
	if err != nil {
		return adminapi.Document{}, err
	}
	return adminapi.Document{Name: a.Name, Version: a.Version, By: a.By, At: a.At, Text: a.Text}, nil
}

// Check implements adminapi.Documents.
func (d adminDocuments) Check(name, text string) error { return d.store.Check(name, text) }

// Apply implements adminapi.Documents.
func (d adminDocuments) Apply(ctx context.Context, name, text string, ifVersion int64, by string) (adminapi.Outcome, error) {
	o, err := d.store.Apply(ctx, name, text, ifVersion, by)
	if err != nil {
		return adminapi.Outcome{}, err
	}
	return adminapi.Outcome{State: adminapi.ApplyState(o.State), Version: o.Version, By: o.By, Detail: o.Detail}, nil
}

// History implements adminapi.Documents.
func (d adminDocuments) History(ctx context.Context, name string) ([]adminapi.Change, error) {
	changes, err := d.store.History(ctx, name)
	if err != nil {
		return nil, err
	}
	var list []adminapi.Change
	for _, c := range changes {
		list = append(list, adminapi.Change{Version: c.Version, By: c.By, At: c.At})
	}
	return list, nil
}

type adminGroups struct{ instance *Instance }

// Snapshots implements adminapi.Groups.
func (g adminGroups) Snapshots() []*group.Snapshot {
	var all []*group.Snapshot
	for _, h := range g.instance.homesCopy() {
		all = append(all, h.watcher.Snapshot())
	}
	return all
}

type adminPools struct{ instance *Instance }

// Pools implements adminapi.Pools.
func (p adminPools) Pools() []adminapi.PoolView {
	var all []adminapi.PoolView
	for name, h := range p.instance.homesCopy() {
		s := h.pool.Stats()
		all = append(all, adminapi.PoolView{
			Group:  name,
			Total:  h.group.Connections,
			Share:  h.share.Limit().Connections,
			Slots:  h.share.Limit().Slots,
			Seated: h.share.HoldsShare(),
			InUse:  s.InUse,
			Idle:   s.Idle,
		})
	}
	return all
}

type adminWorkspaces struct{ instance *Instance }

// Workspaces implements adminapi.Workspaces.
func (a adminWorkspaces) Workspaces() []adminapi.WorkspaceView {
	var all []adminapi.WorkspaceView
	for _, w := range a.instance.documents.Workspaces().All() {
		use := a.instance.quotaGuard.Usage(w.Name)
		all = append(all, adminapi.WorkspaceView{
			Name:               w.Name,
			Priority:           w.Priority,
			Rate:               w.Limit.Rate,
			Burst:              w.Limit.Burst,
			RequestedPerSecond: use.PerSecond,
			Refused:            use.Refused,
		})
	}
	return all
}

type adminPeers struct{ instance *Instance }

// Peers implements adminapi.Peers.
func (p adminPeers) Peers() []adminapi.PeerView {
	var all []adminapi.PeerView
	for _, i := range p.instance.members.Peers() {
		all = append(all, adminapi.PeerView{
			ID:            i.ID,
			FailureDomain: i.FailureDomain,
			Address:       i.PeerAddress,
			Connected:     p.instance.client.Connected(i.PeerAddress),
			Leaving:       i.Leaving,
		})
	}
	return all
}

type adminLifecycle struct{ instance *Instance }

// Ready implements adminapi.Lifecycle.
func (l adminLifecycle) Ready() (bool, []string) {
	var reasons []string
	if !l.instance.documents.Ready() {
		reasons = append(reasons, "no service document is known yet")
	}
	if l.instance.callers.Draining() || l.instance.draining.Load() {
		reasons = append(reasons, "draining")
	}
	if l.instance.cutOff.Load() {
		reasons = append(reasons, "cut off from most groups")
	}
	var unprobed []string
	for name, h := range l.instance.homesCopy() {
		if !membersProbed(h.watcher.Snapshot()) {
			unprobed = append(unprobed, name)
		}
	}
	if len(unprobed) > 0 {
		slices.Sort(unprobed)
		reasons = append(reasons, "members are not asked yet: "+strings.Join(unprobed, ", "))
	}
	return len(reasons) == 0, reasons
}

// membersProbed reports whether a term of the group is known, or every member was probed
// once. Waiting for a term would be wrong: while one group has no member left, no instance
// that starts could serve the other groups.
func membersProbed(s *group.Snapshot) bool {
	if s.Term > 0 {
		return true
	}
	for _, m := range s.Members {
		if m.ReportedAt.IsZero() && m.FailingSince.IsZero() {
			return false
		}
	}
	return true
}

// Drain implements adminapi.Lifecycle.
func (l adminLifecycle) Drain() { l.instance.requestDrain() }

// Draining implements adminapi.Lifecycle.
func (l adminLifecycle) Draining() bool {
	return l.instance.draining.Load() || l.instance.callers.Draining()
}
