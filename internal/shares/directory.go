package shares

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/result"
)

// Directory routes peer calls to the managers of an instance.
type Directory struct {
	incarnation string

	mu       sync.Mutex
	managers map[string]*Manager
}

// NewDirectory returns an empty Directory for the process with the given incarnation.
func NewDirectory(incarnation string) *Directory {
	return &Directory{incarnation: incarnation, managers: make(map[string]*Manager)}
}

// Add makes a manager reachable for peers. Add it before it runs, and remove it after
// Close has returned.
func (d *Directory) Add(m *Manager) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.managers[m.cfg.Group] = m
}

// Remove undoes Add, except if the manager's Close failed with connections still in use.
// Peers then still reach the manager: without it, they would be told that this instance
// holds nothing, and would take the share while it is in use.
func (d *Directory) Remove(group string) {
	m, ok := d.findManager(group)
	if !ok || m.mayHoldConnections() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.managers[group] == m {
		delete(d.managers, group)
	}
}

func (d *Directory) findManager(group string) (*Manager, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.managers[group]
	return m, ok
}

// Register registers the handlers of this package's methods.
func (d *Directory) Register(r peer.HandlerRegistry) {
	r.Handle(MethodBorrow, d.handleBorrow)
	r.Handle(MethodCapacityNotice, d.handleCapacityNotice)
	r.Handle(MethodHolder, d.handleHolderRequest)
}

func (d *Directory) handleBorrow(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var q BorrowRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	m, ok := d.findManager(q.Group)
	if !ok {
		return BorrowReply{}, nil
	}
	return m.submitLoanRequest(ctx, q)
}

func (d *Directory) handleCapacityNotice(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var n CapacityNotice
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, err
	}
	if m, ok := d.findManager(n.Group); ok {
		m.handleCapacityNotice()
	}
	return Empty{}, nil
}

func (d *Directory) handleHolderRequest(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var q HolderRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	if q.Group == "" {
		return nil, result.New(result.BadAdminRequest, "no group")
	}
	m, ok := d.findManager(q.Group)
	return HolderReply{Incarnation: d.incarnation, Holds: ok && m.mayHoldConnections()}, nil
}
