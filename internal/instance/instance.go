// Package instance assembles and runs one entry instance: the servers for callers and
// peers, the administration API, and a home for each group that the instance holds
// connections to.
//
// Lock order: Instance.mu is held for map look-ups only, and never with another lock.
package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/topazrock/topazrock/internal/adminapi"
	"github.com/topazrock/topazrock/internal/config"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/executor"
	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/membership"
	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/quota"
	"github.com/topazrock/topazrock/internal/registry"
	"github.com/topazrock/topazrock/internal/shares"
)

// Instance is one entry instance.
type Instance struct {
	options   Options
	metrics   *metrics
	features  *features.Set
	protocol  Protocol
	store     *config.Store
	documents Documents
	members   *membership.Members
	// registry maintains the list of instances if the platform does not; it is nil
	// otherwise.
	registry *registry.Registry
	// sharing shares reads from the platform with other instances.
	sharing *objectwatch.Sharing
	// listWait and homeDensity are used by runHomes only.
	listWait    instanceListWait
	homeDensity homeDensity
	// placedFrom is what the placements in use were computed from; it is used by runHomes only.
	placedFrom placementInput
	// cutOff is set while the instance is cut off from most groups, as reachDetector
	// decides.
	cutOff atomic.Bool
	// reachCheckedAt is when checkReachNow last ran. wakeReach and wakePeerReach wake
	// watchReach and pollPeerReach.
	reachCheckedAt           atomic.Pointer[time.Time]
	wakeReach, wakePeerReach chan struct{}
	// draining is set when the graceful shutdown begins.
	draining atomic.Bool
	peers    *peer.Server
	client   *peer.Client
	router   *executor.Router
	// quotaGuard enforces the limits of workspaces.
	quotaGuard *quota.Guard
	callers    CallerServer
	admin      *adminapi.Server
	// reconcileRequested triggers a reconciliation of homes; it holds at most one request.
	reconcileRequested chan struct{}
	// drainRequested is closed when an operator requests a drain.
	drainRequested chan struct{}
	requestDrain   func()
	// running tracks the goroutines that shutdown waits for. reconciling tracks the one
	// that starts and retires homes, which shutdown waits for first.
	running     sync.WaitGroup
	reconciling sync.WaitGroup
	// progress records the steps of a shutdown. Homes that were retired stop in running.
	progress *shutdownProgress

	// shareDirectory dispatches calls of peers to the managers of shares. holder
	// identifies this process to them.
	shareDirectory *shares.Directory
	holder         shares.Holder

	mu           sync.Mutex
	homesByGroup map[string]*home
	// stopping holds the groups whose previous home has not stopped yet.
	stopping map[string]bool
}

// New builds an instance, which does nothing until Run is called.
func New(o Options) *Instance {
	n := &Instance{
		options:            o,
		metrics:            newMetrics(o.Registry),
		reconcileRequested: make(chan struct{}, 1),
		drainRequested:     make(chan struct{}),
		progress:           newShutdownProgress(),

		wakeReach:     make(chan struct{}, 1),
		wakePeerReach: make(chan struct{}, 1),

		homesByGroup: make(map[string]*home),
		stopping:     make(map[string]bool),
	}
	n.requestDrain = sync.OnceFunc(func() { close(n.drainRequested) })
	n.build()
	return n
}

func (n *Instance) build() {
	o := n.options
	o.Platform.Eras().Subscribe(n.logEra)
	s := o.Settings
	n.features = features.New(s.Features, o.Logger, n.metrics.features)
	n.features.Observe(o.Conditions)
	n.peers = peer.NewServer(o.Logger)
	n.peers.Metrics = n.metrics.peer
	n.client = peer.NewClient(s.Instance.ID, o.Network)
	n.client.Metrics = n.metrics.peer
	n.members = membership.New(membership.Options{
		API:              o.Platform,
		Clock:            o.Clock,
		Rand:             n.random("membership"),
		Self:             n.self(),
		PerFailureDomain: s.Homes.PerFailureDomain,
		Log:              o.Logger,
		Peers:            n.client,
		Registry:         n.peers,
		Seeds:            s.Peer.Seeds,
		Metrics:          n.metrics.membership,
	})
	n.store = config.New(config.Options{
		API:      o.Platform,
		Clock:    o.Clock,
		Rand:     n.random("config"),
		Fleet:    n.members,
		Peers:    n.client,
		Registry: n.peers,
		Seeds:    s.Peer.Seeds,
		Log:      o.Logger,
		Metrics:  n.metrics.config,
	})
	n.sharing = objectwatch.NewSharing(objectwatch.SharingConfig{
		API: o.Platform, Fleet: n.members, Caller: n.client, Clock: o.Clock, Rand: n.random("objectwatch"), Log: o.Logger,
		Metrics: n.metrics.objectwatch,
	}, n.peers)
	if o.SelfRegister {
		entries := n.sharing.API(platform.KindInstances, 0)
		n.registry = registry.New(registry.Config{
			API: o.Platform, EntriesAPI: entries, ListRelay: entries, Self: n.self(), InstanceSink: n.members, Clock: o.Clock, Seed: o.Seed, Log: o.Logger,
			Peers: n.client, WatchMetrics: n.metrics.objectwatch,
		})
		n.registry.RegisterHandlers(n.peers)
	}
	n.documents = o.Documents
	if n.documents == nil {
		n.documents = newStoredDocuments(n.store, n.members)
	}
	if d, ok := n.documents.(sharingUser); ok {
		d.UseSharing(n.sharing)
	}
	if d, ok := n.documents.(peerUser); ok {
		d.UsePeers(n.members, n.client, n.peers)
	}
	n.protocol = n.postgres()
	if o.Protocol != nil {
		n.protocol = *o.Protocol
	}
	n.router = executor.NewRouter(s.Instance.ID, s.Peer.Address, homeLookup{n.members}, n.client, o.Clock, n.metrics.executor)
	n.router.SetShutdownTime(n.shutdownTime())
	self := platform.Instance{ID: s.Instance.ID, FailureDomain: s.Instance.FailureDomain}
	n.router.ChooseHomesByCost(n.features, self, o.Logger, n.metrics.homechoice)
	n.router.BalanceHomes(n.features, self, n.random("homeloads"), o.Logger, n.metrics.homechoice)
	n.router.Register(n.peers)
	n.quotaGuard = n.newQuotaGuard()
	n.callers = n.protocol.Callers(CallerServerConfig{
		Executor:    quota.Executor{Executor: n.router, Guard: n.quotaGuard, Clock: o.Clock},
		CancelUnits: n.router.InterruptUnits,
		Clock:       o.Clock,
		Logger:      o.Logger,
		Registry:    o.Registry,
		MaxCallers:  s.Caller.MaxCallers,
		Features:    n.features,
	})
	n.serveWitness()
	n.serveReach()
	n.serveMemberHealth()
	n.serveDomainProbes()
	n.holder = n.newHolder()
	n.shareDirectory = shares.NewDirectory(n.holder.Incarnation)
	n.shareDirectory.Register(n.peers)
	n.admin = n.newAdmin()
}

// logEra logs that a later era of the platform's store was seen.
func (n *Instance) logEra(previous, latest int64) {
	log := n.options.Logger.Named("platform")
	if previous == 0 {
		log.Info("The era of the platform's store is known.", "era", latest)
		return
	}
	log.Warn("The platform's store is back from an older copy.", "era", latest, "known_era", previous)
}

func (n *Instance) self() platform.Instance {
	s := n.options.Settings
	return platform.Instance{
		ID:            s.Instance.ID,
		FailureDomain: s.Instance.FailureDomain,
		PeerAddress:   s.Peer.Address,
		AdminAddress:  s.Admin.Address,
		Capacity:      s.Process.Capacity(),

		PicksByCapacity: true,
	}
}

// newHolder returns the identity of this process. The incarnation differs between
// processes, including those of the same instance, as long as their seeds differ.
func (n *Instance) newHolder() shares.Holder {
	s := n.options.Settings
	return shares.Holder{
		Instance:      s.Instance.ID,
		Incarnation:   strconv.FormatUint(n.random("incarnation").Uint64(), 36),
		Address:       s.Peer.Address,
		FailureDomain: s.Instance.FailureDomain,
	}
}

// Run serves until ctx ends or a drain is requested, then shuts down gracefully. It returns
// an error if the instance could not start or the drain was incomplete.
func (n *Instance) Run(ctx context.Context) error {
	callers, peers, err := n.listen()
	if err != nil {
		return err
	}
	// The background context outlives ctx: the drain still needs what runs under it.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.documents.Subscribe(n.requestReconcile)
	n.members.Subscribe(n.requestReconcile)
	n.members.Subscribe(n.quotaGuard.UpdateInstances)
	n.running.Go(func() { n.followInstances(background) })
	n.running.Go(func() { _ = n.documents.Run(background) })
	n.reconciling.Go(func() { n.runHomes(background) })
	n.running.Go(func() { n.serveAdmin(background) })
	n.running.Go(func() { n.serveReadiness(background) })
	n.running.Go(func() { n.serveMetrics(background) })
	n.running.Go(func() { n.watchReach(background) })
	n.running.Go(func() { n.watchOtherDomains(background) })
	n.running.Go(func() { n.reportUsage(background) })
	n.running.Go(func() { n.quotaGuard.Run(background) })
	n.running.Go(func() { _ = n.peers.Serve(peers) })
	n.running.Go(func() { _ = n.callers.Serve(callers) })
	select {
	case <-ctx.Done():
	case <-n.drainRequested:
	}
	err = n.drain(callers)
	n.shutdown(peers, stop)
	return err
}

// followInstances keeps the list of instances up to date.
func (n *Instance) followInstances(ctx context.Context) {
	if n.registry != nil {
		n.registry.Run(ctx)
		return
	}
	_ = n.members.Run(ctx)
}

// withdrawEntry removes the instance's own entry from the list, if the instance maintains
// it.
func (n *Instance) withdrawEntry(ctx context.Context) {
	if n.registry == nil {
		return
	}
	if err := n.registry.RemoveOwnEntry(ctx); err != nil {
		n.options.Logger.Info("The instance's entry was not removed.", "error", err)
	}
}

// serveAdmin runs the administration API. The instance can serve callers without it, so an
// error is only logged.
func (n *Instance) serveAdmin(ctx context.Context) {
	if n.options.Settings.Admin.Address == "" {
		return
	}
	if err := n.admin.Run(ctx); err != nil {
		n.options.Logger.Error("Administration API ended.", "error", err)
	}
}

func (n *Instance) listen() (callers, peers net.Listener, err error) {
	s := n.options.Settings
	callers, err = n.options.Network.Listen(s.Caller.Address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for callers: %w", err)
	}
	peers, err = n.options.Network.Listen(s.Peer.Address)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("listen for peers: %w", err), callers.Close())
	}
	return callers, peers, nil
}

func (n *Instance) home(group string) *home {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.homesByGroup[group]
}

func (n *Instance) homesCopy() map[string]*home {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make(map[string]*home, len(n.homesByGroup))
	for name, h := range n.homesByGroup {
		all[name] = h
	}
	return all
}

// service returns the document in force for a group. If the document was withdrawn while
// units were running, it returns an empty one, which has no limits.
func (n *Instance) service(group string) *document.Service {
	s, ok := n.documents.FindService(group)
	if !ok {
		return &document.Service{}
	}
	return s
}
