package executor

import (
	"context"
	"strings"
	"sync"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// Homes tells which instances are home to a group, nearest first.
type Homes interface {
	Homes(group string) []platform.Instance
	// FindInstance returns the instance of an ID.
	FindInstance(id string) (platform.Instance, bool)
}

// Router sends each unit to a home of its group: this instance, or a peer. A
// disagreement between instances about who is home costs a hop or a refusal
// before sending, and no promise: whichever home runs the unit confirms it.
//
// Lock order: Router.mu or avoided.mu, never both; then a Group's running. None is held
// while a unit runs.
type Router struct {
	self    string
	address string
	homes   Homes
	caller  peer.Caller
	metrics *Metrics
	clock   clock.Clock
	avoided avoided

	mu     sync.RWMutex
	groups map[string]*Group
	// retiring holds groups that this instance is no longer home to, while
	// transactions are open in them.
	retiring map[string]*Group
	// draining refuses new units of peers; inFlight counts those at work.
	draining bool
	inFlight int
	// idle is closed when draining and no unit of a peer is at work.
	idle chan struct{}
	// away holds where units of this instance's callers are at work elsewhere.
	away map[string]awayUnit
	// partials takes the pieces of large answers that peers send, by unit.
	partials map[string]func([]byte) error
}

// NewRouter returns a Router of the instance self, whose peer address is given.
func NewRouter(self, address string, h Homes, c peer.Caller, k clock.Clock, m *Metrics) *Router {
	return &Router{
		self:     self,
		address:  address,
		homes:    h,
		caller:   c,
		metrics:  m,
		clock:    k,
		groups:   make(map[string]*Group),
		retiring: make(map[string]*Group),
		idle:     make(chan struct{}),
		away:     make(map[string]awayUnit),
		partials: make(map[string]func([]byte) error),
	}
}

// Add makes this instance run units of a group itself.
func (r *Router) Add(g *Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.caller != nil && g.homeFinder == nil {
		g.homeFinder = r.newGroupHomeFinder(g)
	}
	r.groups[g.Group] = g
}

// Retire ends that for new units. Transactions that are open go on until they
// end; Remove follows.
func (r *Router) Retire(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.groups[group]; g != nil {
		r.retiring[group] = g
		delete(r.groups, group)
	}
}

// Remove drops a group that was retired.
func (r *Router) Remove(g *Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retiring[g.Group] == g {
		delete(r.retiring, g.Group)
	}
}

// owner returns the group of an open transaction of this instance.
func (r *Router) owner(group, transaction string) *Group {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, g := range []*Group{r.groups[group], r.retiring[group]} {
		if g != nil && g.transactions.find(transaction) != nil {
			return g
		}
	}
	return nil
}

// enterTransaction is enter for a unit of an open transaction.
func (r *Router) enterTransaction(group, transaction string) *Group {
	g := r.owner(group, transaction)
	if g != nil {
		g.atWork.Add(1)
	}
	return g
}

// Local returns the group if this instance runs its units itself.
func (r *Router) Local(group string) *Group {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.groups[group]
}

// enter returns the group if this instance runs its units itself, and counts one
// more unit in it. Counting under the lock keeps Retire from missing a unit that
// has found its group and not begun: its connections would close under it.
func (r *Router) enter(group string) *Group {
	r.mu.RLock()
	defer r.mu.RUnlock()
	g := r.groups[group]
	if g != nil {
		g.atWork.Add(1)
	}
	return g
}

// Execute implements execution.Executor.
func (r *Router) Execute(ctx context.Context, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	if owner, ok := transactionOwner(u.Transaction); ok && owner != r.self {
		return r.forwardTo(ctx, owner, u, partial)
	}
	if u.Transaction != "" {
		return r.inTransaction(ctx, u, partial)
	}
	if g := r.enter(u.Group); g != nil {
		defer g.leave()
		return r.atHome(ctx, g, u, partial)
	}
	return r.forward(ctx, u, partial)
}

// inTransaction runs a unit of a transaction that is open on this instance.
func (r *Router) inTransaction(ctx context.Context, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	g := r.enterTransaction(u.Group, u.Transaction)
	if g == nil {
		return nil, r.metrics.refused(u.Group, result.New(result.TransactionLost, "its connection is gone"))
	}
	defer g.leave()
	return g.Execute(ctx, u, partial)
}

// transactionOwner returns the instance that a transaction's ID names.
func transactionOwner(id string) (string, bool) {
	owner, _, ok := strings.Cut(id, transactionSeparator)
	return owner, ok
}

// Abandon implements execution.Executor.
func (r *Router) Abandon(group, transaction string) {
	owner, ok := transactionOwner(transaction)
	if ok && owner != r.self {
		r.notify(owner, methodAbandon, reference{Group: group, ID: transaction})
		return
	}
	if g := r.owner(group, transaction); g != nil {
		g.Abandon(group, transaction)
	}
}

// Cancel implements execution.Executor.
func (r *Router) Cancel(group, unitID string) {
	if at, ok := r.awayAt(unitID); ok {
		r.notify(at.instance, methodCancel, reference{Group: group, ID: at.id})
		return
	}
	if g := r.Local(group); g != nil {
		g.Cancel(group, unitID)
		return
	}
	for _, home := range r.homes.Homes(group) {
		if home.ID != r.self {
			r.notify(home.ID, methodCancel, reference{Group: group, ID: unitID})
		}
	}
}

// Drain refuses new units of peers, which then go to other homes, and returns
// when those at work have ended or ctx has.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	r.noteIdle()
	r.mu.Unlock()
	select {
	case <-r.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// EndUnits ends the units that members work on, and lets no more be sent to members. The first
// are answered as those whose outcome is not known, the others as those that did not run.
func (r *Router) EndUnits() {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, groups := range []map[string]*Group{r.groups, r.retiring} {
		for _, g := range groups {
			g.running.end()
		}
	}
}

// begin counts a unit of a peer, or reports that it is not to be taken.
func (r *Router) begin(u *execution.Unit) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining && u.Transaction == "" {
		return false
	}
	r.inFlight++
	return true
}

func (r *Router) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.noteIdle()
}

// noteIdle closes idle once. The caller holds r.mu.
func (r *Router) noteIdle() {
	if !r.draining || r.inFlight > 0 {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}
