// Package peernet is an in-memory transport for calls between instances, for tests of
// components that call peers and handle peer calls.
package peernet

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/topazrock/topazrock/internal/peer"
)

// Net connects endpoints. The zero value is not usable; call New.
type Net struct {
	mu       sync.Mutex
	handlers map[string]map[string]peer.Handler
	cut      map[string]bool
}

// New returns a Net without endpoints.
func New() *Net {
	return &Net{handlers: make(map[string]map[string]peer.Handler), cut: make(map[string]bool)}
}

// SetCut disconnects the endpoint at an address from all others, or reconnects it.
func (n *Net) SetCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// At returns the endpoint at an address.
func (n *Net) At(address string) Endpoint { return Endpoint{net: n, address: address} }

func (n *Net) handlerFor(from, to, method string) peer.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[from] || n.cut[to] {
		return nil
	}
	return n.handlers[to][method]
}

// Endpoint is one instance's side of a Net: it implements peer.Registry and peer.Caller.
type Endpoint struct {
	net     *Net
	address string
}

// Handle implements peer.Registry.
func (e Endpoint) Handle(method string, h peer.Handler) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	if e.net.handlers[e.address] == nil {
		e.net.handlers[e.address] = make(map[string]peer.Handler)
	}
	e.net.handlers[e.address][method] = h
}

// Call implements peer.Caller. If the peer is disconnected or has no handler for the
// method, Call blocks until ctx ends.
func (e Endpoint) Call(ctx context.Context, address, method string, params, reply any) error {
	h := e.net.handlerFor(e.address, address, method)
	if h == nil {
		<-ctx.Done()
		return peer.ErrNotSent
	}
	encodedParams, err := json.Marshal(params)
	if err != nil {
		return err
	}
	result, err := h(ctx, e.address, encodedParams)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, reply)
}
