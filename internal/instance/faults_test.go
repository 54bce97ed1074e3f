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
	// strike begins the fault and heal ends it. The members and instances that
	// are hit are those of the failure domain poa-a, where the first primary is.
	strike, heal func(b *bed)
}

// allFaults are the rows of the fault matrix.
var allFaults = []matrixFault{
	{"none", func(*bed) {}, func(*bed) {}},
	{"kill primary", func(b *bed) { b.killMember(0) }, func(b *bed) { b.restartMember(0) }},
	{"kill replica", func(b *bed) { b.killMember(1) }, func(b *bed) { b.restartMember(1) }},
	{"kill instance", func(b *bed) { b.killInstance(0) }, func(b *bed) { b.replaceInstance(0) }},
	{"cut domain", (*bed).cutDomain, (*bed).healDomain},
	{"cut primary one way", func(b *bed) { b.cutOneWay(memberHost(0)) }, (*bed).healDomain},
	{"freeze primary", func(b *bed) { b.net.Freeze(memberHost(0)) }, func(b *bed) { b.net.Thaw(memberHost(0)) }},
	{"freeze instance", func(b *bed) { b.freezeInstance(0) }, func(b *bed) { b.thawInstance(0) }},
	{"slow network", func(b *bed) { b.setLatency(30 * time.Millisecond) }, func(b *bed) { b.setLatency(0) }},
	{"platform down", func(b *bed) { b.store.SetFaults(standin.Faults{Outage: true}) }, (*bed).healPlatform},
	{"platform slow", func(b *bed) { b.store.SetFaults(standin.Faults{Delay: 300 * time.Millisecond}) }, (*bed).healPlatform},
	{"platform answer lost", func(b *bed) { b.store.SetFaults(standin.Faults{LoseAnswers: 3}) }, (*bed).healPlatform},
	{"operator race", (*bed).raceOperators, func(*bed) {}},
	{"silent connections", (*bed).silence, func(*bed) {}},
	{"instance list wrong", (*bed).wrongList, (*bed).rightList},
	{"replica far behind", func(b *bed) { b.nodes[2].SetReplicationLag(time.Minute) }, func(b *bed) { b.nodes[2].SetReplicationLag(bedLag) }},
}

func (b *bed) killMember(i int) {
	b.net.Kill(memberHost(i))
	b.nodes[i].Kill()
}

func (b *bed) restartMember(i int) {
	b.nodes[i].Stop()
	b.nodes[i].SetNetwork(b.net.Host(memberHost(i)))
	b.is.NoErr(b.nodes[i].Start())
}

// killInstance takes the instance's process off the network and the platform.
// What is left of it in this process can reach nothing.
func (b *bed) killInstance(i int) {
	b.net.Kill(instanceHost(i))
	b.views[i].SetAway(true)
}

// replaceInstance starts a new process at the address of a killed one.
func (b *bed) replaceInstance(i int) {
	b.stop[i]()
	b.dead = append(b.dead, b.ended[i])
	b.startInstanceAt(i)
}

func (b *bed) freezeInstance(i int) {
	b.net.Freeze(instanceHost(i))
	b.views[i].Freeze()
}

func (b *bed) thawInstance(i int) {
	b.net.Thaw(instanceHost(i))
	b.views[i].Thaw()
}

// domainHosts returns the hosts in the failure domain poa-a, and the others.
func (b *bed) domainHosts() (inside, outside []string) {
	for i := range bedDomains {
		hosts := []string{memberHost(i), instanceHost(i)}
		if i == 0 {
			inside = hosts
		} else {
			outside = append(outside, hosts...)
		}
	}
	return inside, outside
}

func (b *bed) eachPair(f func(in, out string)) {
	inside, outside := b.domainHosts()
	for _, in := range inside {
		for _, out := range outside {
			f(in, out)
		}
	}
}

// cutDomain cuts poa-a off from the other domains and from the platform. Its
// callers still reach it.
func (b *bed) cutDomain() {
	b.eachPair(b.net.Cut)
	b.views[0].SetAway(true)
}

func (b *bed) healDomain() {
	b.eachPair(b.net.Heal)
	b.views[0].SetAway(false)
}

// cutOneWay loses what a host sends to the other domains.
func (b *bed) cutOneWay(host string) {
	_, outside := b.domainHosts()
	for _, out := range outside {
		b.net.CutOneWay(host, out)
	}
}

func (b *bed) setLatency(d time.Duration) {
	var hosts []string
	for i := range bedDomains {
		hosts = append(hosts, memberHost(i), instanceHost(i))
	}
	for i, one := range hosts {
		for _, other := range hosts[:i] {
			b.net.SetLatency(one, other, d)
		}
	}
}

func (b *bed) healPlatform() { b.store.SetFaults(standin.Faults{}) }

// raceOperators lets two operators edit the same version through two instances.
// Whatever they are told must agree with what is in force.
func (b *bed) raceOperators() {
	for _, i := range []int{1, 2} {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			defer cancel()
			current, ok := b.instances[i].store.Current("base")
			if ok {
				_, _ = b.instances[i].store.Apply(ctx, "base", current.Text, current.Version, "racer")
			}
		}()
	}
}

// silence makes every open connection of poa-a silent for good; new ones work.
func (b *bed) silence() {
	b.eachPair(b.net.Silence)
	b.net.Silence(instanceHost(0), memberHost(0))
}

// wrongList shows a list without the instance of poa-a, which lives on, and
// with one that does not exist.
func (b *bed) wrongList() {
	list := b.inventory()
	list.Instances[0] = platform.Instance{ID: "ghost", FailureDomain: bedDomains[0], PeerAddress: "10.0.8.8:7432"}
	b.store.SetInventory(list)
}

func (b *bed) rightList() { b.store.SetInventory(b.inventory()) }
