package config

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/topazrock/topazrock/internal/peer"
)

// network is an in-memory network between the stores of a test.
type network struct {
	mu           sync.Mutex
	handlers     map[string]map[string]peer.Handler
	cutAddresses map[string]bool
	// droppedMethods are the methods whose calls are dropped.
	droppedMethods map[string]bool
	// onCall maps a method to a function that is called before its next call.
	onCall map[string]func()
	calls  map[string]int
	bytes  map[string]int
}

func newNetwork() *network {
	return &network{handlers: map[string]map[string]peer.Handler{}, cutAddresses: map[string]bool{},
		droppedMethods: map[string]bool{}, onCall: map[string]func(){}, calls: map[string]int{}, bytes: map[string]int{}}
}

// endpoint is one instance's connection to the network.
type endpoint struct {
	net     *network
	address string
}

func (e endpoint) Handle(method string, h peer.Handler) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	if e.net.handlers[e.address] == nil {
		e.net.handlers[e.address] = map[string]peer.Handler{}
	}
	e.net.handlers[e.address][method] = h
}

func (e endpoint) Call(ctx context.Context, address, method string, params, reply any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	e.net.mu.Lock()
	onCall := e.net.onCall[method]
	delete(e.net.onCall, method)
	e.net.mu.Unlock()
	if onCall != nil {
		onCall()
	}
	e.net.mu.Lock()
	h := e.net.handlers[address][method]
	blocked := h == nil || e.net.cutAddresses[e.address] || e.net.cutAddresses[address] || e.net.droppedMethods[method]
	e.net.calls[method]++
	e.net.bytes[method] += len(raw)
	e.net.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return ctx.Err()
	}
	answer, err := h(ctx, e.address, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(answer); err != nil {
		return err
	}
	e.net.mu.Lock()
	e.net.bytes[method] += len(raw)
	e.net.mu.Unlock()
	return json.Unmarshal(raw, reply)
}

func (n *network) setFlag(table map[string]bool, key string, value bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	table[key] = value
}

// onNextCall registers f to be called before the next call of a method.
func (n *network) onNextCall(method string, f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onCall[method] = f
}
