// Package peernet carries calls between instances in memory, for tests of parts that
// call peers and serve them.
package peernet

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/topazrock/topazrock/internal/peer"
)

// Net connects endpoints. The zero value is not ready; use New.
type Net struct {
	mu       sync.Mutex
	handlers map[string]map[string]peer.Handler
	cut      map[string]bool
}

// New returns a Net without endpoints.
func New() *Net {
	return &Net{handlers: make(map[string]map[string]peer.Handler), cut: make(map[string]bool)}
}

// SetCut cuts the endpoint at an address off from all others, or heals that.
func (n *Net) SetCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// At returns the endpoint at an address.
func (n *Net) At(address string) Endpoint { return Endpoint{net: n, address: address} }

func (n *Net) handler(from, to, method string) peer.Handler {
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

// Call implements peer.Caller. A peer that is cut off, or not there, answers nothing.
func (e Endpoint) Call(ctx context.Context, address, method string, params, reply any) error {
	h := e.net.handler(e.address, address, method)
	if h == nil {
		<-ctx.Done()
		return peer.ErrNotSent
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := h(ctx, e.address, raw)
	if err != nil {
		return err
	}
	back, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(back, reply)
}
