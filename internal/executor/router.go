package executor

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/homechoice"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// Homes looks up instances. The homes of a group are returned nearest first.
type Homes interface {
	Homes(group string) []platform.Instance
	// FindInstance returns the instance with the given ID.
	FindInstance(id string) (platform.Instance, bool)
}

// Router sends each unit to a home of its group: this instance or a peer. If instances disagree
// about the homes of a group, this costs a hop or a refusal before sending, but no guarantee is
// lost: every home confirms the units that it runs.
//
// Lock order: Router.mu, departures.mu or the lock of avoidedHomes, never two of them; then a Group's runningUnits.mu or
// transactions.mu. None is held while a unit runs.
type Router struct {
	selfID       string
	peerAddress  string
	homes        Homes
	peerClient   peer.Caller
	metrics      *Metrics
	clock        clock.Clock
	avoidedHomes homechoice.Avoided
	departures   *departures
	// shutdownTime is the longest time that a graceful shutdown of an instance takes.
	shutdownTime time.Duration

	mu     sync.RWMutex
	groups map[string]*Group
	// retiring holds groups that this instance is no longer home to but that still have open
	// transactions.
	retiring map[string]*Group
	// draining means that new units of peers are refused; peerUnits counts the running ones.
	draining  bool
	peerUnits int
	// interrupted is canceled by InterruptUnits, which ends the units of peers that wait for a slot,
	// a connection or a primary.
	interrupted context.Context
	interrupt   context.CancelFunc
	// remoteUnits records where units of this instance's callers run at other instances.
	remoteUnits map[string]remoteUnit
	// partialHandlers receive the chunks of large answers that peers send, by unit ID.
	partialHandlers map[string]*partialHandler
	// owners chooses homes for units of owners of connections; its feature set is nil if it is not
	// used.
	owners ownerHomes
	// homeLoads chooses homes for the other units; its feature set is nil if it is not used.
	homeLoads homeLoads
}

// NewRouter returns a Router for the instance self, whose peer address is address.
func NewRouter(self, address string, h Homes, c peer.Caller, k clock.Clock, m *Metrics) *Router {
	r := &Router{
		selfID:          self,
		peerAddress:     address,
		homes:           h,
		peerClient:      c,
		metrics:         m,
		clock:           k,
		shutdownTime:    homechoice.DefaultShutdownTime,
		departures:      newDepartures(),
		groups:          make(map[string]*Group),
		retiring:        make(map[string]*Group),
		remoteUnits:     make(map[string]remoteUnit),
		partialHandlers: make(map[string]*partialHandler),
	}
	r.interrupted, r.interrupt = context.WithCancel(context.Background())
	return r
}

// SetShutdownTime sets the longest time that a graceful shutdown of an instance takes. A home that
// reported that it is draining is tried last for this time, and not longer: it may have returned.
// It must be called before units run.
func (r *Router) SetShutdownTime(d time.Duration) { r.shutdownTime = d }

// AddGroup makes this instance run the units of a group itself.
func (r *Router) AddGroup(g *Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peerClient != nil && g.homeFinder == nil {
		g.homeFinder = r.newGroupHomeFinder(g)
	}
	r.groups[g.Group] = g
}

// RetireGroup stops this instance from running new units of a group. Open transactions continue until
// they end; RemoveGroup is called afterwards.
func (r *Router) RetireGroup(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.groups[group]; g != nil {
		r.retiring[group] = g
		delete(r.groups, group)
	}
}

// RemoveGroup drops a retired group.
func (r *Router) RemoveGroup(g *Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retiring[g.Group] == g {
		delete(r.retiring, g.Group)
	}
}

// transactionGroup returns the group of an open transaction of this instance.
func (r *Router) transactionGroup(group, transaction string) *Group {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, g := range []*Group{r.groups[group], r.retiring[group]} {
		if g != nil && g.transactions.find(transaction) != nil {
			return g
		}
	}
	return nil
}

// acquireTransactionGroup is acquireGroup for a unit of an open transaction.
func (r *Router) acquireTransactionGroup(group, transaction string) *Group {
	g := r.transactionGroup(group, transaction)
	if g != nil {
		g.activeUnits.Add(1)
	}
	return g
}

// LocalGroup returns the group if this instance runs its units itself, and nil otherwise.
func (r *Router) LocalGroup(group string) *Group {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.groups[group]
}

// acquireGroup returns the group if this instance runs its units itself, and counts one more
// active unit in it. Counting under the lock ensures that RetireGroup does not miss a unit that has
// looked up its group but not begun: its connections would be closed while it runs.
func (r *Router) acquireGroup(group string) *Group {
	r.mu.RLock()
	defer r.mu.RUnlock()
	g := r.groups[group]
	if g != nil {
		g.activeUnits.Add(1)
	}
	return g
}

// Execute implements execution.Executor.
func (r *Router) Execute(ctx context.Context, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	if owner, ok := transactionOwner(u.Transaction); ok && owner != r.selfID {
		return r.forwardToOwner(ctx, owner, u, partial)
	}
	if u.Transaction != "" {
		return r.executeInTransaction(ctx, u, partial)
	}
	if r.choosesByCost(u) {
		return r.executeForOwner(ctx, u, partial)
	}
	if g := r.acquireGroup(u.Group); g != nil {
		defer g.finishUnit()
		return r.executeAtHome(ctx, g, u, partial)
	}
	return r.forward(ctx, u, partial)
}

// executeInTransaction runs a unit of a transaction that is open on this instance.
func (r *Router) executeInTransaction(ctx context.Context, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	g := r.acquireTransactionGroup(u.Group, u.Transaction)
	if g == nil {
		return nil, r.metrics.countRefusal(u.Group, result.New(result.TransactionLost, "its connection is gone"))
	}
	defer g.finishUnit()
	return g.Execute(ctx, u, partial)
}

// transactionOwner returns the instance that is named in a transaction ID.
func transactionOwner(id string) (string, bool) {
	owner, _, ok := strings.Cut(id, transactionSeparator)
	return owner, ok
}

// AbandonTransaction implements execution.Executor.
func (r *Router) AbandonTransaction(group, transaction string) {
	owner, ok := transactionOwner(transaction)
	if ok && owner != r.selfID {
		r.notifyInstance(owner, methodAbandon, objectRef{Group: group, ID: transaction})
		return
	}
	if g := r.transactionGroup(group, transaction); g != nil {
		g.AbandonTransaction(group, transaction)
	}
}

// CancelUnit implements execution.Executor.
func (r *Router) CancelUnit(group, unitID string) {
	if remote, ok := r.findRemoteUnit(unitID); ok {
		r.notifyInstance(remote.instance, methodCancel, objectRef{Group: group, ID: remote.unitID})
		return
	}
	if g := r.LocalGroup(group); g != nil {
		g.CancelUnit(group, unitID)
		return
	}
	for _, home := range r.homes.Homes(group) {
		if home.ID != r.selfID {
			r.notifyInstance(home.ID, methodCancel, objectRef{Group: group, ID: unitID})
		}
	}
}

// RefusePeerUnits refuses new units of peers from now on; they then go to other homes.
func (r *Router) RefusePeerUnits() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// Drain refuses new units of peers. It returns when no unit of a peer is running and no transaction
// is open, or when ctx has ended. Units of open transactions are still accepted meanwhile: their
// callers cannot continue them at another instance.
func (r *Router) Drain(ctx context.Context) error {
	r.RefusePeerUnits()
	for r.isBusy() {
		if err := clock.Sleep(ctx, r.clock, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// isBusy reports whether a unit of a peer is running or a transaction is open.
func (r *Router) isBusy() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.peerUnits > 0 {
		return true
	}
	for _, groups := range []map[string]*Group{r.groups, r.retiring} {
		for _, g := range groups {
			if g.OpenTransactions() > 0 {
				return true
			}
		}
	}
	return false
}

// refusesPeers reports whether new units of peers are refused.
func (r *Router) refusesPeers() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.draining
}

// InterruptUnits interrupts the units that are running at members, ends the waits of peers' units, and
// prevents further units from being sent. Interrupted units get an outcome-unknown result, the
// others a did-not-run result. Units of this instance's callers wait in contexts of their own.
func (r *Router) InterruptUnits() {
	r.interrupt()
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, groups := range []map[string]*Group{r.groups, r.retiring} {
		for _, g := range groups {
			g.runningUnits.closeAndInterrupt()
		}
	}
}

// DiscardTransactions closes the connections of all open transactions.
func (r *Router) DiscardTransactions() {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, groups := range []map[string]*Group{r.groups, r.retiring} {
		for _, g := range groups {
			g.DiscardTransactions()
		}
	}
}

// beginPeerUnit counts a unit of a peer, or returns false if the unit must be refused.
func (r *Router) beginPeerUnit(u *execution.Unit) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining && u.Transaction == "" {
		return false
	}
	r.peerUnits++
	return true
}

func (r *Router) finishPeerUnit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerUnits--
}
