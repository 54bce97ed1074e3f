package instance

import (
	"context"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/executor"
	"github.com/topazrock/topazrock/internal/failover"
	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/memberhealth"
	"github.com/topazrock/topazrock/internal/pool"
	"github.com/topazrock/topazrock/internal/retry"
	"github.com/topazrock/topazrock/internal/shares"
	"github.com/topazrock/topazrock/internal/wire"
)

// home is what the instance runs for one group that it is home to. It acquires a share of
// the group's connections first, and connects to members and accepts units only while it
// holds one.
type home struct {
	group   document.Group
	watcher *group.Watcher
	claimer *failover.Claimer
	pool    *pool.Limited
	gate    *admission.Controller
	// perMemberGate replaces gate if each member has its own slots. The unused one of the
	// two is nil.
	perMemberGate *admission.PerMember
	// memberHealth holds what the statements show of the members.
	memberHealth *memberhealth.Tracker
	executor     *executor.Group
	router       *executor.Router
	share        connectionShare
	// observeConnections receives the number of connections that a member counts.
	observeConnections func(address string, connections int)

	// cancelShare stops share.Run, which shareRunning tracks.
	cancelShare  context.CancelFunc
	shareRunning sync.WaitGroup
	// cancelComponents stops the components that need the share; components tracks them.
	cancelComponents context.CancelFunc
	components       sync.WaitGroup

	// cancelExecutor stops executor.Run, which executorRunning tracks; nil until the share is
	// held for the first time.
	cancelExecutor  context.CancelFunc
	executorRunning sync.WaitGroup
}

// newHome builds a home without starting it.
func (n *Instance) newHome(g document.Group, version int64) *home {
	h := &home{group: g, router: n.router, observeConnections: func(string, int) {}}
	h.watcher = group.NewWatcher(group.Config{
		Group:              g.Name,
		Members:            g.Members,
		MinSize:            g.MinSize,
		Clock:              n.options.Clock,
		Rand:               n.random("watcher/" + g.Name),
		Dialer:             n.protocol.ControlDialer(g.Name),
		Intervals:          n.protocol.Intervals,
		Logger:             n.options.Logger,
		Metrics:            n.metrics.group,
		OnSilentConnection: func(since time.Time) { h.pool.ProbeIdle(since) },
		OnConnections:      func(address string, n int) { h.observeConnections(address, n) },
	})
	h.memberHealth = n.newMemberHealth(g, h.watcher)
	h.claimer = n.newClaimer(g, h.watcher, h.memberHealth)
	h.pool = n.newPool(g)
	gate := admission.Config{
		Group:   g.Name,
		Clock:   n.options.Clock,
		Rand:    n.random("admission/" + g.Name),
		Logger:  n.options.Logger,
		Metrics: n.metrics.admission,

		FairOrder: func() bool { return n.features.Enabled(features.FairWorkspaces) },
	}
	if n.protocol.Wire.SlotPerConnection {
		h.perMemberGate = admission.NewPerMember(gate)
	} else {
		h.gate = admission.New(gate)
	}
	h.executor = n.newExecutor(g, h)
	h.share = n.newShare(g, version, h)
	return h
}

func (n *Instance) newPool(g document.Group) *pool.Limited {
	return pool.New(pool.Config{
		Group: g.Name,
		Clock: n.options.Clock,
		Rand:  n.random("pool/" + g.Name),
		Open: func(ctx context.Context, address, workspace string) (wire.Conn, error) {
			return n.protocol.Open(ctx, g.Name, address, workspace)
		},
		Probe: func(ctx context.Context, c wire.Conn) error { return c.Probe(ctx) },
		Check: n.checkConn,
		Close: func(ctx context.Context, c wire.Conn) error { return c.Shutdown(ctx) },

		TrimInterval: n.protocol.TrimInterval,
		KeepFrequentlyUsed: func() bool {
			return n.features.Enabled(features.ConnectionCost)
		},
		Logger:  n.options.Logger,
		Metrics: n.metrics.pool,
	})
}

func (n *Instance) newExecutor(g document.Group, h *home) *executor.Group {
	return executor.NewGroup(executor.Config{
		Group:         g.Name,
		Instance:      n.options.Settings.Instance.ID,
		FailureDomain: n.options.Settings.Instance.FailureDomain,
		Service:       func() *document.Service { return n.service(g.Name) },
		Tracker:       n.tracker(h.watcher),
		Pool:          h.pool,
		Gate:          h.admissionGate(),

		WorkspaceWeight: n.workspaceWeight,

		Budget: retry.New(retry.Config{
			Group:   g.Name,
			Clock:   n.options.Clock,
			Rand:    n.random("retry/" + g.Name),
			Metrics: n.metrics.retry,
		}),
		Clock:   n.options.Clock,
		Random:  n.random("routing/" + g.Name),
		Dialer:  n.options.Network,
		Logger:  n.options.Logger,
		Metrics: n.metrics.executor,
		Health:  h.memberHealth,
		Wire:    n.protocol.Wire,

		ConfirmationAge: n.protocol.ConfirmationAge,
	})
}

// workspaceWeight returns the weight of a workspace in the order of admission, or zero if it is
// not known.
func (n *Instance) workspaceWeight(name string) int {
	w, ok := n.documents.Workspaces().ByName(name)
	if !ok {
		return 0
	}
	return w.Weight()
}

// admissionGate returns the gate that admits units.
func (h *home) admissionGate() admission.Gate {
	if h.perMemberGate != nil {
		return h.perMemberGate
	}
	return h.gate
}

// setMemberLimit limits the connections and slots that the home uses at each member.
func (h *home) setMemberLimit(connections int) {
	h.pool.SetMemberLimit(connections)
	h.perMemberGate.SetSlots(connections)
}

// tracker returns the view of a group that execution uses.
func (n *Instance) tracker(w *group.Watcher) group.Tracker {
	if n.options.WrapTracker == nil {
		return w
	}
	return n.options.WrapTracker(w)
}

// newShare returns the home's share of the group's connections. It is allocated in the
// group's ledger on the platform, or divided evenly if members limit their own connections.
func (n *Instance) newShare(g document.Group, version int64, h *home) connectionShare {
	if n.protocol.MembersLimitConnections {
		e := &shares.EqualShare{
			Clock:                 n.options.Clock,
			LostConnectionTimeout: n.protocol.ConnectionLinger,
			Connections:           shares.PoolResource(h.pool),
			SetPerMember:          h.setMemberLimit,
			ControlPerMember:      controlConnsPerMember,
			PartOf:                func(total int) int { return n.connectionShareOf(g.Name, total) },
			OnHeldChanged:         h.shareChanged,
			ReserveOf:             func(a shares.Allocation) shares.Reserve { return n.reserveOf(g.Name, a) },
			SetLostUntil:          h.pool.SetLostUntil,
			Group:                 g.Name,
			Logger:                n.options.Logger,
			Metrics:               n.metrics.equalShares,
		}
		h.observeConnections = e.ObserveConnections
		e.SetAllocation(allocation(g, version))
		return e
	}
	m := n.newShareManager(g, version, h)
	n.shareDirectory.Add(m)
	return m
}

// controlConnsPerMember is the number of connections to each member that a home uses for
// following it.
const controlConnsPerMember = 1

func (n *Instance) newShareManager(g document.Group, version int64, h *home) *shares.Manager {
	return shares.New(shares.Config{
		Group:              g.Name,
		Self:               n.holder,
		Clock:              n.options.Clock,
		Rand:               n.random("shares/" + g.Name),
		Platform:           n.options.Platform,
		Peers:              n.client,
		Logger:             n.options.Logger,
		Metrics:            n.metrics.shares,
		Connections:        shares.PoolResource(h.pool),
		Slots:              shares.GateResource(h.gate),
		ControlConnections: len(g.Members),
		OnHeldChanged:      h.shareChanged,
	}, allocation(g, version))
}

// allocation returns the limits of a group according to its document. The failure domains
// are those of the group's members, because each of these domains has its own entry
// instances.
func allocation(g document.Group, version int64) shares.Allocation {
	a := shares.Allocation{
		DocumentVersion: version,
		Total:           shares.Amount{Connections: g.Connections, Slots: g.Slots},
		Members:         len(g.Members),
		PerMember:       g.MemberConnections,
	}
	for _, m := range g.Members {
		a.FailureDomains = append(a.FailureDomains, m.FailureDomain)
	}
	return a
}

// start acquires a share in the background and holds it until stop is called.
func (h *home) start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancelShare = cancel
	h.shareRunning.Go(func() { h.share.Run(ctx) })
}

// shareChanged starts the components that need the share, or stops them before the share is
// released.
func (h *home) shareChanged(held bool) {
	if !held {
		h.router.RetireGroup(h.group.Name)
		h.stopComponents()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancelComponents = cancel
	h.components.Go(func() { h.watcher.Run(ctx) })
	h.components.Go(func() { h.claimer.Run(ctx) })
	h.router.AddGroup(h.executor)
	h.startExecutor()
}

// startExecutor starts the executor's tasks, which run until the home is stopped. Transactions may
// be open after the share is lost, and the share cannot be taken again before they have ended.
func (h *home) startExecutor() {
	if h.cancelExecutor != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancelExecutor = cancel
	h.executorRunning.Go(func() { h.executor.Run(ctx) })
}

// stopExecutor stops the executor's tasks.
func (h *home) stopExecutor() {
	if h.cancelExecutor == nil {
		return
	}
	h.cancelExecutor()
	h.executorRunning.Wait()
}

// stopComponents stops the components that need the share and returns when their
// connections are closed.
func (h *home) stopComponents() {
	if h.cancelComponents == nil {
		return
	}
	h.cancelComponents()
	h.components.Wait()
}

// stop releases the share and closes every connection to members. It returns an error if
// the release could not be recorded on the platform. The share can then be taken over once
// another process answers at this instance's address, which proves that this one has ended.
func (h *home) stop(ctx context.Context) error {
	h.cancelShare()
	h.shareRunning.Wait()
	err := h.share.Close(ctx)
	h.stopComponents()
	_ = h.pool.Close(ctx)
	h.stopExecutor()
	return err
}
