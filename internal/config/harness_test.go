package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/membership"
	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

const testVerifier = "SCRAM-SHA-256$4096:y0dInoy2hw+boGs4hM65eQ==$3SpBj+j6yTi73e/dAhqtXEWaTZOtGBZeNNnGI3sGNh8=:n+SNdInED24RgrJW/aqIICRzLDB52sPposD4v52R36w="

// text returns a valid document whose slots tell versions apart.
func text(name string, slots int) string {
	return fmt.Sprintf("[service]\nname = %s\n[group %s-1]\nmembers = a/10.0.0.1:1, b/10.0.0.2:1, c/10.0.0.3:1\n"+
		"connections = 1000\nslots = %d\n[user app]\nverifier = %s\n", name, name, slots, testVerifier)
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
