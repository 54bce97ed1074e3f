package executor

import (
	"context"
	"strings"
	"sync"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// Homes tells which instances are home to a group, best first.
type Homes interface {
	HomesRanked(group string) []platform.Instance
	// FindInstance returns the instance of an ID.
	FindInstance(id string) (platform.Instance, bool)
}

// Router sends each unit to a home of its group: this instance, or a peer. A
// disagreement between instances about who is home costs a hop or a refusal
// before sending, and no promise: whichever home runs the unit confirms it.
//
// Lock order: Router.mu alone; it is not held while a unit runs.
type Router struct {
	self    string
	address string
	homes   Homes
	caller  peer.Caller
	metrics *Metrics

	mu     sync.RWMutex
	groups map[string]*Group
	// partials takes the pieces of large answers that peers send, by unit.
	partials map[string]func([]byte) error
}

// NewRouter returns a Router of the instance self, whose peer address is given.
func NewRouter(self, address string, h Homes, c peer.Caller, m *Metrics) *Router {
	return &Router{
		self:     self,
		address:  address,
		homes:    h,
		caller:   c,
		metrics:  m,
		groups:   make(map[string]*Group),
		partials: make(map[string]func([]byte) error),
	}
}

// Add makes this instance run units of a group itself.
func (r *Router) Add(g *Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groups[g.Group] = g
}

// Remove ends that. Transactions that are open go on until they end.
func (r *Router) Remove(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.groups, group)
}

// Local returns the group if this instance runs its units itself.
func (r *Router) Local(group string) *Group {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.groups[group]
}

// Execute implements execution.Executor.
func (r *Router) Execute(ctx context.Context, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	if owner, ok := transactionOwner(u.Transaction); ok && owner != r.self {
		return r.forwardTo(ctx, owner, u, partial)
	}
	if g := r.Local(u.Group); g != nil {
		return g.Execute(ctx, u, partial)
	}
	if u.Transaction != "" {
		return nil, result.New(result.TransactionLost, "this instance is no longer home to the group")
	}
	return r.forward(ctx, u, partial)
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
	if g := r.Local(group); g != nil {
		g.Abandon(group, transaction)
	}
}

// Cancel implements execution.Executor.
func (r *Router) Cancel(group, unitID string) {
	if g := r.Local(group); g != nil {
		g.Cancel(group, unitID)
		return
	}
	for _, home := range r.homes.HomesRanked(group) {
		if home.ID != r.self {
			r.notify(home.ID, methodCancel, reference{Group: group, ID: unitID})
		}
	}
}
