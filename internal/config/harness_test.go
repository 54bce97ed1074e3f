package config

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/membership"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

const testVerifier = "SCRAM-SHA-256$4096:y0dInoy2hw+boGs4hM65eQ==$3SpBj+j6yTi73e/dAhqtXEWaTZOtGBZeNNnGI3sGNh8=:n+SNdInED24RgrJW/aqIICRzLDB52sPposD4v52R36w="

// text returns a valid document whose slots tell versions apart.
func text(name string, slots int) string {
	return fmt.Sprintf("[service]\nname = %s\n[group %s-1]\nmembers = a/10.0.0.1:1, b/10.0.0.2:1, c/10.0.0.3:1\n"+
		"connections = 1000\nslots = %d\n[user app]\nverifier = %s\n", name, name, slots, testVerifier)
}

// network carries calls between the stores of a test.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[string]peer.Handler
	cut      map[string]bool
	// lose drops calls of a method.
	lose map[string]bool
	// onCall runs before the next call of a method.
	onCall map[string]func()
	calls  map[string]int
	bytes  map[string]int
}

func newNetwork() *network {
	return &network{handlers: map[string]map[string]peer.Handler{}, cut: map[string]bool{},
		lose: map[string]bool{}, onCall: map[string]func(){}, calls: map[string]int{}, bytes: map[string]int{}}
}

// endpoint is one instance's side of the network.
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
	blocked := h == nil || e.net.cut[e.address] || e.net.cut[address] || e.net.lose[method]
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

func (n *network) set(table map[string]bool, key string, value bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	table[key] = value
}

// gate is one instance's way to the platform; it can be cut.
type gate struct {
	platform.API
	mu   sync.Mutex
	open context.Context
	shut context.CancelFunc
	// onPut replaces the next Puts; forward does what Put would have done.
	onPut func(forward func() (platform.Object, error)) (platform.Object, error)
	// onGet runs before the next Get.
	onGet func()
}

// lostBefore loses a Put on its way to the platform.
func lostBefore(func() (platform.Object, error)) (platform.Object, error) {
	return platform.Object{}, platform.ErrOutcomeUnknown
}

// lostAfter loses the answer to a Put that took effect.
func lostAfter(forward func() (platform.Object, error)) (platform.Object, error) {
	_, _ = forward()
	return platform.Object{}, platform.ErrOutcomeUnknown
}

// intercept replaces the next n Puts.
func (g *gate) intercept(n int, f func(func() (platform.Object, error)) (platform.Object, error)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onPut = func(forward func() (platform.Object, error)) (platform.Object, error) {
		if n--; n < 0 {
			return forward()
		}
		return f(forward)
	}
}

// beforeGet runs f before the next Get.
func (g *gate) beforeGet(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onGet = f
}

func newGate(api platform.API) *gate {
	g := &gate{API: api}
	g.heal()
	return g
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open, g.shut = context.WithCancel(context.Background())
}

func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut()
}

func (g *gate) enter() (context.Context, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open.Err() != nil {
		return nil, platform.ErrUnavailable
	}
	return g.open, nil
}

func (g *gate) Get(ctx context.Context, k platform.Kind, name string) (platform.Object, error) {
	g.mu.Lock()
	onGet := g.onGet
	g.onGet = nil
	g.mu.Unlock()
	if onGet != nil {
		onGet()
	}
	if _, err := g.enter(); err != nil {
		return platform.Object{}, err
	}
	return g.API.Get(ctx, k, name)
}

func (g *gate) List(ctx context.Context, k platform.Kind) ([]platform.Object, int64, error) {
	if _, err := g.enter(); err != nil {
		return nil, 0, err
	}
	return g.API.List(ctx, k)
}

func (g *gate) Put(ctx context.Context, k platform.Kind, name string, value []byte, v int64) (platform.Object, error) {
	if _, err := g.enter(); err != nil {
		return platform.Object{}, err
	}
	g.mu.Lock()
	onPut := g.onPut
	g.mu.Unlock()
	if onPut != nil {
		return onPut(func() (platform.Object, error) { return g.API.Put(context.WithoutCancel(ctx), k, name, value, v) })
	}
	return g.API.Put(ctx, k, name, value, v)
}

func (g *gate) Watch(ctx context.Context, k platform.Kind, after int64) ([]platform.Object, int64, error) {
	open, err := g.enter()
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(open, cancel)()
	return g.API.Watch(ctx, k, after)
}

func (g *gate) Inventory(ctx context.Context) (platform.Inventory, error) {
	if _, err := g.enter(); err != nil {
		return platform.Inventory{}, err
	}
	return g.API.Inventory(ctx)
}

// node is one instance of a test.
type node struct {
	*Store
	id      string
	gate    *gate
	members *membership.Members
	stop    func()
}

// fleet is the instances of a test with their platform and network.
type fleet struct {
	t         *testing.T
	platform  *switchable
	net       *network
	inventory platform.Inventory
	nodes     []*node
	relays    int
	seeds     []string
}

// switchable is a platform that can be replaced by an empty one.
type switchable struct {
	mu sync.Mutex
	*standin.Store
}

func (s *switchable) now() *standin.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Store
}

func (s *switchable) replace(next *standin.Store) {
	s.mu.Lock()
	old := s.Store
	s.Store = next
	s.mu.Unlock()
	// Waiting watches of the old store end with an error.
	old.SetFaults(standin.Faults{Outage: true})
}

func (s *switchable) Get(ctx context.Context, k platform.Kind, name string) (platform.Object, error) {
	return s.now().Get(ctx, k, name)
}

func (s *switchable) List(ctx context.Context, k platform.Kind) ([]platform.Object, int64, error) {
	return s.now().List(ctx, k)
}

func (s *switchable) Delete(ctx context.Context, k platform.Kind, name string, v int64) error {
	return s.now().Delete(ctx, k, name, v)
}

func (s *switchable) ListStale(ctx context.Context, k platform.Kind) ([]platform.Object, int64, error) {
	return s.now().ListStale(ctx, k)
}

func (s *switchable) Put(ctx context.Context, k platform.Kind, name string, value []byte, v int64) (platform.Object, error) {
	return s.now().Put(ctx, k, name, value, v)
}

func (s *switchable) Watch(ctx context.Context, k platform.Kind, after int64) ([]platform.Object, int64, error) {
	return s.now().Watch(ctx, k, after)
}

func (s *switchable) Inventory(ctx context.Context) (platform.Inventory, error) {
	return s.now().Inventory(ctx)
}

var testDomains = []string{"poa-a", "poa-b", "fln-c"}

// newFleet starts n instances over three failure domains.
func newFleet(t *testing.T, n int) *fleet { return newFleetWith(t, n, DefaultRelays) }

func newFleetWith(t *testing.T, n, relays int) *fleet {
	f := &fleet{t: t, platform: &switchable{Store: standin.NewStore()}, net: newNetwork(), relays: relays}
	for i := range n {
		f.inventory.Instances = append(f.inventory.Instances, platform.Instance{ID: fmt.Sprintf("e%d", i),
			FailureDomain: testDomains[i%len(testDomains)], PeerAddress: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	f.platform.SetInventory(f.inventory)
	for i := range n {
		f.nodes = append(f.nodes, f.start(i))
	}
	return f
}

// start starts instance i anew: nothing is kept from an earlier start.
func (f *fleet) start(i int) *node {
	self := f.inventory.Instances[i]
	g := newGate(f.platform)
	seed := uint64(time.Now().UnixNano())
	m := membership.New(membership.Options{API: g, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		Self: self, PerFailureDomain: 1})
	_ = m.Refresh(f.t.Context())
	e := endpoint{f.net, self.PeerAddress}
	s := New(Options{API: g, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(uint64(i), seed)), Fleet: m, Peers: e,
		Registry: e, Relays: f.relays, Seeds: f.seeds})
	ctx, cancel := context.WithCancel(f.t.Context())
	var parts sync.WaitGroup
	parts.Go(func() { _ = s.Run(ctx) })
	parts.Go(func() { _ = m.Run(ctx) })
	return &node{Store: s, id: self.ID, gate: g, members: m, stop: func() { cancel(); parts.Wait() }}
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.stop()
	}
}

// cutDomain cuts a failure domain from the platform and from all other
// instances, or heals it.
func (f *fleet) cutDomain(domain string, cut bool) {
	for i, n := range f.nodes {
		if f.inventory.Instances[i].FailureDomain != domain {
			continue
		}
		f.net.set(f.net.cut, f.inventory.Instances[i].PeerAddress, cut)
		if cut {
			n.gate.cut()
		} else {
			n.gate.heal()
		}
	}
}

func (f *fleet) versions(name string) []int64 {
	var list []int64
	for _, n := range f.nodes {
		a, _ := n.Current(name)
		list = append(list, a.Version)
	}
	return list
}

// all waits until every instance has a version in force, for at most d of
// virtual time, and returns how long it took.
func (f *fleet) all(name string, version int64, d time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	for {
		if got := f.versions(name); uniform(got, version) {
			return time.Since(start)
		} else if time.Since(start) > d {
			f.t.Fatalf("after %v the versions of %s are %v, not all %d", d, name, got, version)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func uniform(list []int64, want int64) bool {
	for _, v := range list {
		if v != want {
			return false
		}
	}
	return true
}

// apply applies a change and fails the test when it is not accepted.
func (f *fleet) apply(n *node, name string, slots int, ifVersion int64) Outcome {
	f.t.Helper()
	o, err := n.Apply(f.t.Context(), name, text(name, slots), ifVersion, "ana")
	if err != nil || o.State != Accepted {
		f.t.Fatalf("apply: %+v, %v", o, err)
	}
	return o
}

// on runs f before the next call of a method.
func (n *network) on(method string, f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onCall[method] = f
}
