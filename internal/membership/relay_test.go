package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

// network connects the views of a test.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[string]peer.Handler
	dead     map[string]bool
}

// endpoint is one instance's connection to a network.
type endpoint struct {
	network *network
	address string
}

func (p endpoint) Handle(method string, h peer.Handler) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.handlers[p.address] == nil {
		p.network.handlers[p.address] = map[string]peer.Handler{}
	}
	p.network.handlers[p.address][method] = h
}

func (p endpoint) Call(ctx context.Context, address, method string, params, reply any) error {
	p.network.mu.Lock()
	h, dead := p.network.handlers[address][method], p.network.dead[address]
	p.network.mu.Unlock()
	if h == nil || dead {
		<-ctx.Done()
		return ctx.Err()
	}
	raw, _ := json.Marshal(params)
	answer, err := h(ctx, p.address, raw)
	if err != nil {
		return err
	}
	raw, _ = json.Marshal(answer)
	return json.Unmarshal(raw, reply)
}

// harness is a set of instances' views on one network.
type harness struct {
	t       *testing.T
	network *network
	all     []platform.Instance
	apis    []*listAPI
	views   []*Members
	stop    func()
}

// newHarness starts n instances in three failure domains, with one relay each.
func newHarness(t *testing.T, n int) *harness {
	h := &harness{t: t, network: &network{handlers: map[string]map[string]peer.Handler{}, dead: map[string]bool{}}, all: newInstances(n)}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range n {
		api := &listAPI{list: platform.Inventory{Instances: h.all}}
		m := h.newView(i, api, nil)
		h.apis, h.views = append(h.apis, api), append(h.views, m)
		running.Go(func() { _ = m.Run(ctx) })
	}
	h.stop = func() { cancel(); running.Wait() }
	time.Sleep(2 * staleAfter)
	return h
}

func (h *harness) newView(i int, api platform.API, seeds []string) *Members {
	p := endpoint{h.network, h.all[i].PeerAddress}
	return New(Options{API: api, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, uint64(i))), Self: h.all[i],
		PerFailureDomain: 1, Peers: p, Registry: p, Seeds: seeds, Relays: 1})
}

func (h *harness) setInventory(inventory platform.Inventory, err error) {
	for _, api := range h.apis {
		api.set(inventory, err)
	}
}

func (h *harness) isRelay(i int) bool { return h.views[i].relayTree().IsRelay(h.all[i].ID) }

func leavingInventory(all []platform.Instance) platform.Inventory {
	return platform.Inventory{Instances: all, Upstreams: []platform.Upstream{{Address: "u", Leaving: true}, {Address: "v"}}}
}

func (h *harness) countLeavingSeen() int {
	n := 0
	for _, m := range h.views {
		if m.IsUpstreamLeaving("u") {
			n++
		}
	}
	return n
}

// Only one relay of each failure domain reads the platform's list, and an upstream is listed as
// leaving. All instances must know it within two seconds, and only the relays may call the
// platform.
func TestRelaysReadForAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, 90)
		defer h.stop()
		callsBefore := 0
		for _, api := range h.apis {
			callsBefore += api.callCount()
		}
		h.setInventory(leavingInventory(h.all), nil)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(h.countLeavingSeen(), 90)
		time.Sleep(8500 * time.Millisecond)
		calls := -callsBefore
		for _, api := range h.apis {
			calls += api.callCount()
		}
		// Three relays each read for 10 s, at least 0.8 s apart.
		is.True(calls <= 3*14)
	})
}

// Inner instances of the tree die while they are still listed. The instances below them must
// pull from relays instead and learn of a leaving upstream within seconds.
func TestDeadParentIsBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, 90)
		defer h.stop()
		dead := 0
		for i := range h.all {
			if tree := h.views[i].relayTree(); !h.isRelay(i) && len(tree.Children(treeKey, h.all[i].ID)) > 0 {
				h.network.mu.Lock()
				h.network.dead[h.all[i].PeerAddress] = true
				h.network.mu.Unlock()
				if dead++; dead == 3 {
					break
				}
			}
		}
		is.Equal(dead, 3)
		h.setInventory(leavingInventory(h.all), nil)
		time.Sleep(8 * time.Second)
		is.Equal(h.countLeavingSeen(), 90)
	})
}

// The relay of a failure domain loses the platform but not its peers. The failure domain must
// learn of a leaving upstream from the other relays.
func TestRelayWithoutPlatformPullsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, 30)
		defer h.stop()
		h.setInventory(leavingInventory(h.all), nil)
		for i, api := range h.apis {
			if h.all[i].FailureDomain == "poa-a" {
				api.set(platform.Inventory{}, platform.ErrUnavailable)
			}
		}
		time.Sleep(10 * time.Second)
		is.Equal(h.countLeavingSeen(), 30)
	})
}

// An instance starts while the platform is down. It must get the list from a seed and compute
// the same homes as the others.
func TestStartDuringOutageUsesSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, 9)
		defer h.stop()
		h.setInventory(platform.Inventory{}, platform.ErrUnavailable)
		m := h.newView(4, h.apis[4], []string{h.all[0].PeerAddress})
		is.Equal(len(m.Live()), 1)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		time.Sleep(3 * time.Second)
		is.Equal(len(m.Live()), 9)
		is.Equal(m.HomesRanked("orders"), h.views[0].HomesRanked("orders"))
		cancel()
		<-done
	})
}

// Instances join, leave and change while a view pulls the changed parts from a peer. After each
// pull, its list must equal the peer's.
func TestPulledListMatchesPeersList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := rand.New(rand.NewPCG(5, 5))
		w := &network{handlers: map[string]map[string]peer.Handler{}, dead: map[string]bool{}}
		h := &harness{t: t, network: w, all: newInstances(300)}
		api := &listAPI{}
		source, follower := h.newView(0, api, nil), h.newView(1, api, nil)
		for range 50 {
			var listed []platform.Instance
			for _, i := range h.all {
				i.Leaving = r.IntN(50) == 0
				if r.IntN(50) > 0 {
					listed = append(listed, i)
				}
			}
			api.set(platform.Inventory{Instances: listed, Upstreams: []platform.Upstream{{Address: fmt.Sprint(r.IntN(9)), Leaving: true}}}, nil)
			is.NoErr(source.Refresh(t.Context()))
			is.NoErr(follower.pullFrom(t.Context(), h.all[0].PeerAddress))
			is.Equal(follower.list.instances, source.list.instances)
			is.Equal(follower.list.leaving, source.list.leaving)
			time.Sleep(time.Second)
		}
	})
}
