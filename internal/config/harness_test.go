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

// documentText returns a valid document. Its number of slots distinguishes
// versions.
func documentText(name string, slots int) string {
	return fmt.Sprintf("[service]\nname = %s\n[group %s-1]\nmembers = a/10.0.0.1:1, b/10.0.0.2:1, c/10.0.0.3:1\n"+
		"connections = 1000\nslots = %d\n[user app]\nverifier = %s\n", name, name, slots, testVerifier)
}

// testInstance is one instance of a test.
type testInstance struct {
	*Store
	id      string
	link    *platformLink
	members *membership.Members
	stop    func()
}

// testFleet is a set of instances with their platform and network.
type testFleet struct {
	t               *testing.T
	platform        *replaceablePlatform
	net             *network
	inventory       platform.Inventory
	instances       []*testInstance
	relaysPerDomain int
	seeds           []string
}

var testDomains = []string{"poa-a", "poa-b", "fln-c"}

// newFleet starts n instances in three failure domains.
func newFleet(t *testing.T, n int) *testFleet {
	return newFleetWithRelays(t, n, DefaultRelaysPerDomain)
}

func newFleetWithRelays(t *testing.T, n, relays int) *testFleet {
	f := &testFleet{t: t, platform: &replaceablePlatform{Store: standin.NewStore()}, net: newNetwork(), relaysPerDomain: relays}
	for i := range n {
		f.inventory.Instances = append(f.inventory.Instances, platform.Instance{ID: fmt.Sprintf("e%d", i),
			FailureDomain: testDomains[i%len(testDomains)], PeerAddress: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	f.platform.SetInventory(f.inventory)
	for i := range n {
		f.instances = append(f.instances, f.startInstance(i))
	}
	return f
}

// startInstance starts instance i without any state of its previous process.
func (f *testFleet) startInstance(i int) *testInstance {
	self := f.inventory.Instances[i]
	link := newPlatformLink(f.platform)
	seed := uint64(time.Now().UnixNano())
	m := membership.New(membership.Options{API: link, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		Self: self, PerFailureDomain: 1})
	_ = m.Refresh(f.t.Context())
	e := endpoint{f.net, self.PeerAddress}
	s := New(Options{API: link, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(uint64(i), seed)), Fleet: m, Peers: e,
		Registry: e, Relays: f.relaysPerDomain, Seeds: f.seeds})
	ctx, cancel := context.WithCancel(f.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Run(ctx) })
	wg.Go(func() { _ = m.Run(ctx) })
	return &testInstance{Store: s, id: self.ID, link: link, members: m, stop: func() { cancel(); wg.Wait() }}
}

func (f *testFleet) stopAll() {
	for _, n := range f.instances {
		n.stop()
	}
}

// setDomainCut disconnects a failure domain from the platform and from all
// other instances, or reconnects it.
func (f *testFleet) setDomainCut(domain string, cut bool) {
	for i, n := range f.instances {
		if f.inventory.Instances[i].FailureDomain != domain {
			continue
		}
		f.net.setFlag(f.net.cutAddresses, f.inventory.Instances[i].PeerAddress, cut)
		if cut {
			n.link.disconnect()
		} else {
			n.link.reconnect()
		}
	}
}

func (f *testFleet) versions(name string) []int64 {
	var list []int64
	for _, n := range f.instances {
		a, _ := n.Current(name)
		list = append(list, a.Version)
	}
	return list
}

// waitForVersion waits until a version is current on every instance, for at
// most d of virtual time, and returns how long it took.
func (f *testFleet) waitForVersion(name string, version int64, d time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	for {
		if got := f.versions(name); allEqual(got, version) {
			return time.Since(start)
		} else if time.Since(start) > d {
			f.t.Fatalf("after %v the versions of %s are %v, not all %d", d, name, got, version)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func allEqual(list []int64, want int64) bool {
	for _, v := range list {
		if v != want {
			return false
		}
	}
	return true
}

// mustApply applies a change and fails the test if it is not accepted.
func (f *testFleet) mustApply(n *testInstance, name string, slots int, ifVersion int64) Outcome {
	f.t.Helper()
	o, err := n.Apply(f.t.Context(), name, documentText(name, slots), ifVersion, "ana")
	if err != nil || o.State != Accepted {
		f.t.Fatalf("apply: %+v, %v", o, err)
	}
	return o
}
