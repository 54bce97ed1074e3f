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

// NewDirectory returns an empty Directory of the process with an incarnation.
func NewDirectory(incarnation string) *Directory {
	return &Directory{incarnation: incarnation, managers: make(map[string]*Manager)}
}

// Add makes a manager reachable. Add it before it runs and remove it after
// Close returned.
func (d *Directory) Add(m *Manager) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.managers[m.cfg.Group] = m
}

// Remove undoes Add, unless the manager's Close failed with connections still in
// use. It then goes on answering: were it gone, a peer would be told that this
// instance holds nothing, and would take the seat while it is in use.
func (d *Directory) Remove(group string) {
	m, ok := d.find(group)
	if !ok || m.holds() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.managers[group] == m {
		delete(d.managers, group)
	}
}

func (d *Directory) find(group string) (*Manager, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.managers[group]
	return m, ok
}

// Register takes the methods of this package at a registry.
func (d *Directory) Register(r peer.Registry) {
	r.Handle(MethodBorrow, d.borrow)
	r.Handle(MethodReturn, d.returned)
	r.Handle(MethodHolder, d.holder)
}

func (d *Directory) borrow(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var q BorrowRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	m, ok := d.find(q.Group)
	if !ok {
		return BorrowReply{}, nil
	}
	return m.lend(ctx, q)
}

func (d *Directory) returned(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var n Notice
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, err
	}
	if m, ok := d.find(n.Group); ok {
		m.hear()
	}
	return Empty{}, nil
}

func (d *Directory) holder(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var q HolderRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	if q.Group == "" {
		return nil, result.New(result.BadAdminRequest, "no group")
	}
	m, ok := d.find(q.Group)
	return HolderReply{Incarnation: d.incarnation, Holds: ok && m.holds()}, nil
}
