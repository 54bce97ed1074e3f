// Package peernet is an in-memory transport for calls between instances, for tests of
// components that call peers and handle peer calls.
package peernet

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/topazrock/topazrock/internal/peer"
)

// Network connects endpoints. The zero value is not usable; call New.
type Network struct {
	mu       sync.Mutex
	handlers map[string]map[string]peer.Handler
	cut      map[string]bool
}

// New returns a Network without endpoints.
func New() *Network {
	return &Network{handlers: make(map[string]map[string]peer.Handler), cut: make(map[string]bool)}
}

// SetDisconnected disconnects the endpoint at an address from all others, or reconnects it.
func (n *Network) SetDisconnected(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// Endpoint returns the endpoint at an address.
func (n *Network) Endpoint(address string) Endpoint { return Endpoint{net: n, address: address} }

func (n *Network) handlerFor(from, to, method string) peer.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[from] || n.cut[to] {
		return nil
	}
	return n.handlers[to][method]
}

// Endpoint is one instance's side of a Network: it implements peer.HandlerRegistry and peer.Caller.
type Endpoint struct {
	net     *Network
	address string
}

// Handle implements peer.HandlerRegistry.
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
