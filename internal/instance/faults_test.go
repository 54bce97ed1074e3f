package instance

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// matrixFault is one row of the fault matrix.
type matrixFault struct {
	name string
	// inject begins the fault and heal ends it. The affected members and instances are
	// those of the failure domain poa-a, where the first primary is.
	inject, heal func(tc *testCluster)
}

// allFaults are the rows of the fault matrix.
var allFaults = []matrixFault{
	{"none", func(*testCluster) {}, func(*testCluster) {}},
	{"kill primary", func(tc *testCluster) { tc.killMember(0) }, func(tc *testCluster) { tc.restartMember(0) }},
	{"kill replica", func(tc *testCluster) { tc.killMember(1) }, func(tc *testCluster) { tc.restartMember(1) }},
	{"kill instance", func(tc *testCluster) { tc.killInstance(0) }, func(tc *testCluster) { tc.replaceInstance(0) }},
	{"cut domain", (*testCluster).cutDomain, (*testCluster).healDomain},
	{"cut primary one way", func(tc *testCluster) { tc.cutOneWay(memberHost(0)) }, (*testCluster).healDomain},
	{"freeze primary", func(tc *testCluster) { tc.net.Freeze(memberHost(0)) }, func(tc *testCluster) { tc.net.Thaw(memberHost(0)) }},
	{"freeze instance", func(tc *testCluster) { tc.freezeInstance(0) }, func(tc *testCluster) { tc.thawInstance(0) }},
	{"slow network", func(tc *testCluster) { tc.setLatency(30 * time.Millisecond) }, func(tc *testCluster) { tc.setLatency(0) }},
	{"platform down", func(tc *testCluster) { tc.store.SetFaults(standin.Faults{Outage: true}) }, (*testCluster).healPlatform},
	{"platform slow", func(tc *testCluster) { tc.store.SetFaults(standin.Faults{Delay: 300 * time.Millisecond}) }, (*testCluster).healPlatform},
	{"platform answer lost", func(tc *testCluster) { tc.store.SetFaults(standin.Faults{LoseResponses: 3}) }, (*testCluster).healPlatform},
	{"operator race", (*testCluster).raceOperators, func(*testCluster) {}},
	{"silent connections", (*testCluster).silenceConnections, func(*testCluster) {}},
	{"instance list wrong", (*testCluster).publishWrongList, (*testCluster).restoreList},
	{"replica far behind", func(tc *testCluster) { tc.nodes[2].SetReplicationLag(time.Minute) }, func(tc *testCluster) { tc.nodes[2].SetReplicationLag(testReplicationLag) }},
}

func (tc *testCluster) killMember(i int) {
	tc.net.Kill(memberHost(i))
	tc.nodes[i].Kill()
}

func (tc *testCluster) restartMember(i int) {
	tc.nodes[i].Stop()
	tc.nodes[i].SetNetwork(tc.net.Host(memberHost(i)))
	tc.is.NoErr(tc.nodes[i].Start())
}

// killInstance disconnects the instance from the network and the platform. Its goroutines
// keep running in the test process but can reach nothing.
func (tc *testCluster) killInstance(i int) {
	tc.net.Kill(instanceHost(i))
	tc.views[i].SetDisconnected(true)
}

// replaceInstance starts a new process at the address of a killed one.
func (tc *testCluster) replaceInstance(i int) {
	tc.stop[i]()
	tc.replacedRunErrors = append(tc.replacedRunErrors, tc.runErrors[i])
	tc.startInstanceAt(i)
}

func (tc *testCluster) freezeInstance(i int) {
	tc.net.Freeze(instanceHost(i))
	tc.views[i].Freeze()
}

func (tc *testCluster) thawInstance(i int) {
	tc.net.Thaw(instanceHost(i))
	tc.views[i].Thaw()
}

// domainHosts returns the hosts in the failure domain poa-a, and those outside it.
func (tc *testCluster) domainHosts() (inside, outside []string) {
	for i := range testDomains {
		hosts := []string{memberHost(i), instanceHost(i)}
		if i == 0 {
			inside = hosts
		} else {
			outside = append(outside, hosts...)
		}
	}
	return inside, outside
}

func (tc *testCluster) eachPair(f func(in, out string)) {
	inside, outside := tc.domainHosts()
	for _, in := range inside {
		for _, out := range outside {
			f(in, out)
		}
	}
}

// cutDomain disconnects poa-a from the other failure domains and from the platform. Callers
// can still reach it.
func (tc *testCluster) cutDomain() {
	tc.eachPair(tc.net.Cut)
	tc.views[0].SetDisconnected(true)
}

func (tc *testCluster) healDomain() {
	tc.eachPair(tc.net.Heal)
	tc.views[0].SetDisconnected(false)
}

// cutOneWay drops everything that a host sends to the other failure domains.
func (tc *testCluster) cutOneWay(host string) {
	_, outside := tc.domainHosts()
	for _, out := range outside {
		tc.net.CutOneWay(host, out)
	}
}

func (tc *testCluster) setLatency(d time.Duration) {
	var hosts []string
	for i := range testDomains {
		hosts = append(hosts, memberHost(i), instanceHost(i))
	}
	for i, one := range hosts {
		for _, other := range hosts[:i] {
			tc.net.SetLatency(one, other, d)
		}
	}
}

func (tc *testCluster) healPlatform() { tc.store.SetFaults(standin.Faults{}) }

// raceOperators makes two operators change the same version through two instances. The
// responses they get must agree with the document in force.
func (tc *testCluster) raceOperators() {
	for _, i := range []int{1, 2} {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			defer cancel()
			current, ok := tc.instances[i].store.Current("base")
			if ok {
				_, _ = tc.instances[i].store.Apply(ctx, "base", current.Text, current.Version, "racer")
			}
		}()
	}
}

// silenceConnections makes every open connection of poa-a silent permanently; new ones
// work.
func (tc *testCluster) silenceConnections() {
	tc.eachPair(tc.net.BlackholeConnections)
	tc.net.BlackholeConnections(instanceHost(0), memberHost(0))
}

// publishWrongList publishes a list that lacks the instance of poa-a, which still runs, and
// contains an instance that does not exist.
func (tc *testCluster) publishWrongList() {
	list := tc.inventory()
	list.Instances[0] = platform.Instance{ID: "ghost", FailureDomain: testDomains[0], PeerAddress: "10.0.8.8:7432"}
	tc.store.SetInventory(list)
}

func (tc *testCluster) restoreList() { tc.store.SetInventory(tc.inventory()) }
