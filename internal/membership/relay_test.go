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

// wire carries calls between the views of a test.
type wire struct {
	mu       sync.Mutex
	handlers map[string]map[string]peer.Handler
	dead     map[string]bool
}

// port is one instance's side of a wire.
type port struct {
	wire    *wire
	address string
}

func (p port) Handle(method string, h peer.Handler) {
	p.wire.mu.Lock()
	defer p.wire.mu.Unlock()
	if p.wire.handlers[p.address] == nil {
		p.wire.handlers[p.address] = map[string]peer.Handler{}
	}
	p.wire.handlers[p.address][method] = h
}

func (p port) Call(ctx context.Context, address, method string, params, reply any) error {
	p.wire.mu.Lock()
	h, dead := p.wire.handlers[address][method], p.wire.dead[address]
	p.wire.mu.Unlock()
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

// bed is a fleet of views over one wire.
type bed struct {
	t    *testing.T
	wire *wire
	all  []platform.Instance
	apis []*listAPI
	view []*Members
	stop func()
}

// newBed starts n instances, with one relay in each of three failure domains.
func newBed(t *testing.T, n int) *bed {
	b := &bed{t: t, wire: &wire{handlers: map[string]map[string]peer.Handler{}, dead: map[string]bool{}}, all: fleet(n)}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range n {
		api := &listAPI{list: platform.Inventory{Instances: b.all}}
		m := b.newView(i, api, nil)
		b.apis, b.view = append(b.apis, api), append(b.view, m)
		running.Go(func() { _ = m.Run(ctx) })
	}
	b.stop = func() { cancel(); running.Wait() }
	time.Sleep(2 * staleAfter)
	return b
}

func (b *bed) newView(i int, api platform.API, seeds []string) *Members {
	p := port{b.wire, b.all[i].PeerAddress}
	return New(Options{API: api, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, uint64(i))), Self: b.all[i],
		PerFailureDomain: 1, Peers: p, Registry: p, Seeds: seeds, Relays: 1})
}

func (b *bed) list(inventory platform.Inventory, err error) {
	for _, api := range b.apis {
		api.set(inventory, err)
	}
}

func (b *bed) relay(i int) bool { return b.view[i].tree().IsRelay(b.all[i].ID) }

func leavingInventory(all []platform.Instance) platform.Inventory {
	return platform.Inventory{Instances: all, Upstreams: []platform.Upstream{{Address: "u", Leaving: true}, {Address: "v"}}}
}

func (b *bed) knowing() int {
	n := 0
	for _, m := range b.view {
		if m.Leaving("u") {
			n++
		}
	}
	return n
}

// An upstream is listed as leaving in a fleet in which only a relay of each
// failure domain reads the list. All instances know within two seconds, and
// the platform gets calls from the relays alone.
func TestRelaysReadForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBed(t, 90)
		defer b.stop()
		before := 0
		for _, api := range b.apis {
			before += api.count()
		}
		b.list(leavingInventory(b.all), nil)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(b.knowing(), 90)
		time.Sleep(8500 * time.Millisecond)
		calls := -before
		for _, api := range b.apis {
			calls += api.count()
		}
		is.True(calls <= 3*14)
	})
}

// An inner instance of the tree dies while it is still listed. The instances
// below it pull from relays instead, and know of a leaving upstream seconds later.
func TestDeadParent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBed(t, 90)
		defer b.stop()
		dead := 0
		for i := range b.all {
			if tree := b.view[i].tree(); !b.relay(i) && len(tree.Children(treeKey, b.all[i].ID)) > 0 {
				b.wire.mu.Lock()
				b.wire.dead[b.all[i].PeerAddress] = true
				b.wire.mu.Unlock()
				if dead++; dead == 3 {
					break
				}
			}
		}
		is.Equal(dead, 3)
		b.list(leavingInventory(b.all), nil)
		time.Sleep(8 * time.Second)
		is.Equal(b.knowing(), 90)
	})
}

// The relay of a failure domain loses the platform, its peers do not. The
// failure domain learns of a leaving upstream from the other relays.
func TestRelayWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBed(t, 30)
		defer b.stop()
		b.list(leavingInventory(b.all), nil)
		for i, api := range b.apis {
			if b.all[i].FailureDomain == "poa-a" {
				api.set(platform.Inventory{}, platform.ErrUnavailable)
			}
		}
		time.Sleep(10 * time.Second)
		is.Equal(b.knowing(), 30)
	})
}

// An instance starts while the platform is down. It gets the list from a seed,
// and with it the homes that the others see.
func TestStartInOutageBySeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBed(t, 9)
		defer b.stop()
		b.list(platform.Inventory{}, platform.ErrUnavailable)
		m := b.newView(4, b.apis[4], []string{b.all[0].PeerAddress})
		is.Equal(len(m.Live()), 1)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		time.Sleep(3 * time.Second)
		is.Equal(len(m.Live()), 9)
		is.Equal(m.HomesRanked("orders"), b.view[0].HomesRanked("orders"))
		cancel()
		<-done
	})
}

// Instances join, leave and change while the view follows a peer part by part.
// After each exchange it is the list that the peer has.
func TestPulledListIsThePeersList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := rand.New(rand.NewPCG(5, 5))
		w := &wire{handlers: map[string]map[string]peer.Handler{}, dead: map[string]bool{}}
		b := &bed{t: t, wire: w, all: fleet(300)}
		api := &listAPI{}
		source, follower := b.newView(0, api, nil), b.newView(1, api, nil)
		for range 50 {
			var listed []platform.Instance
			for _, i := range b.all {
				i.Leaving = r.IntN(50) == 0
				if r.IntN(50) > 0 {
					listed = append(listed, i)
				}
			}
			api.set(platform.Inventory{Instances: listed, Upstreams: []platform.Upstream{{Address: fmt.Sprint(r.IntN(9)), Leaving: true}}}, nil)
			is.NoErr(source.Refresh(t.Context()))
			is.NoErr(follower.pull(t.Context(), b.all[0].PeerAddress))
			is.Equal(follower.held.instances, source.held.instances)
			is.Equal(follower.held.leaving, source.held.leaving)
			time.Sleep(time.Second)
		}
	})
}
