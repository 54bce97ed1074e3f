package failover_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	store "github.com/topazrock/topazrock/internal/standin/platform"
)

// scheduleCount is how many random fault schedules run, and firstSeed is the seed of
// the first one.
var (
	scheduleCount = flag.Uint64("schedules", 12, "random schedules of faults to run")
	firstSeed     = flag.Uint64("first-seed", 1, "seed of the first random schedule")
)

// faultsPerSchedule is how many faults are injected in one schedule.
const faultsPerSchedule = 10

// Random faults of all kinds, which may overlap, are injected and healed while three
// instances write. After all are healed, there is one primary, every instance can
// write, and no acknowledged write is missing.
func TestRandomFaultsLoseNothing(t *testing.T) {
	for k := range *scheduleCount {
		s := *firstSeed + k
		withCluster(t, s, func(x *cluster) {
			r := rand.New(rand.NewPCG(s, 1))
			var stops []func()
			for _, i := range x.instances {
				stops = append(stops, x.startWriter(i))
			}
			for range faultsPerSchedule {
				heal := x.injectRandomFault(r)
				x.advance(time.Duration(r.IntN(1500)) * time.Millisecond)
				// On average, one fault in three lasts until the end.
				if r.IntN(3) > 0 {
					heal()
				}
				x.advance(time.Duration(r.IntN(800)) * time.Millisecond)
			}
			x.healAll()
			for _, stop := range stops {
				stop()
			}
			x.advance(5 * time.Second)
			term, primaries := x.primaries()
			if len(primaries) != 1 {
				x.t.Fatalf("seed %d: term %d, primaries %v", s, term, primaries)
			}
			for k, i := range x.instances {
				x.wantWritable(i, "end-"+domain(k))
				if k != primaries[0] {
					x.wantAttached(k, term)
				}
			}
		})
	}
}

// injectRandomFault injects one fault and returns the function that heals it.
func (x *cluster) injectRandomFault(r *rand.Rand) func() {
	k := r.IntN(3)
	host, ip := x.hosts[k], x.instances[k].ip
	other := x.hosts[(k+1+r.IntN(2))%3]
	switch r.IntN(9) {
	case 0:
		x.nodes[k].Kill()
		return func() { x.restartMember(k) }
	case 1:
		x.cutDomain(k, x.net.Cut)
		return func() { x.cutDomain(k, x.net.Heal) }
	case 2:
		x.net.Freeze(host)
		return func() { x.net.Thaw(host) }
	case 3:
		x.net.Freeze(ip)
		return func() { x.net.Thaw(ip) }
	case 4:
		x.store.SetFaults(store.Faults{Outage: true})
		return func() { x.store.SetFaults(store.Faults{Delay: platformDelay}) }
	case 5:
		x.store.SetFaults(store.Faults{Delay: platformDelay, LoseResponses: 2})
		return func() {}
	case 6:
		x.net.CutOneWay(host, other)
		return func() { x.net.Heal(host, other) }
	case 7:
		x.net.BlackholeConnections(ip, other)
		return func() {}
	default:
		x.nodes[k].SetReplicationLag(time.Duration(r.IntN(1000)) * time.Millisecond)
		return func() { x.nodes[k].SetReplicationLag(replicationLag) }
	}
}

// restartMember restarts a killed member with its persisted data.
func (x *cluster) restartMember(k int) {
	x.nodes[k].Stop()
	if err := x.nodes[k].Start(); err != nil {
		x.t.Logf("member %d runs already: %v", k, err)
	}
}

// healAll heals all remaining faults.
func (x *cluster) healAll() {
	x.store.SetFaults(store.Faults{Delay: platformDelay})
	all := x.allHosts()
	for k, a := range all {
		x.net.Thaw(a)
		for _, b := range all[k+1:] {
			x.net.Heal(a, b)
		}
	}
	for k, n := range x.nodes {
		n.SetReplicationLag(replicationLag)
		x.restartMember(k)
	}
}
