package shares

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// pastLedger is the platform's object and ledger before a change.
type pastLedger struct {
	at     time.Time
	object platform.Object
	ledger Ledger
}

// returnFromCopy replaces the platform's ledger by what it was some time ago and begins the next
// era.
func (sim *simulation) returnFromCopy(age time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	taken := time.Now().Add(-age)
	for len(sim.past) > 0 && !sim.past[len(sim.past)-1].at.Before(taken) {
		last := sim.past[len(sim.past)-1]
		sim.object, sim.newestLedger = last.object, last.ledger
		sim.past = sim.past[:len(sim.past)-1]
	}
	sim.era++
	sim.returned = true
}

// Guards against members that get more connections or statements than their total because the
// platform's store has lost loans and holders of shares.
func TestTotalsHoldWhenThePlatformReturnsFromACopy(t *testing.T) {
	for seed := range uint64(40) {
		t.Run("seed "+strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runReturns(t, rand.New(rand.NewPCG(seed, 39))) })
		})
	}
}

// runReturns changes demands and restarts instances while the store returns from copies. In the
// end every instance must have its share again.
func runReturns(t *testing.T, r *rand.Rand) {
	f := &fleet{sim: newSimulation(t), document: 1, total: total}
	f.sim.sampleInterval = fleetSampleInterval
	for _, domain := range append(domains, domains...) {
		f.addInstance(domain)
	}
	upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
	sleep(10 * time.Second)
	for range 4 {
		for range 6 {
			inst := f.running[r.IntN(len(f.running))]
			inst.connections.setDemand(r.IntN(40))
			inst.slots.setDemand(r.IntN(5))
			sleep(upTo(2 * time.Second))
		}
		if r.IntN(3) == 0 {
			inst := f.running[r.IntN(len(f.running))]
			inst.kill()
			f.removeInstance(inst)
			sleep(upTo(2 * time.Second))
			f.running = append(f.running, f.sim.startInstance(inst.id, inst.domain))
			f.running[len(f.running)-1].manager.SetAllocation(f.allocation())
		}
		f.sim.withLock(func() { f.sim.platformDown = true })
		sleep(200*time.Millisecond + upTo(2*time.Second))
		f.sim.returnFromCopy(500*time.Millisecond + upTo(10*time.Second))
		f.sim.withLock(func() { f.sim.platformDown = false })
		sleep(upTo(20 * time.Second))
	}
	for _, inst := range f.running {
		inst.connections.setDemand(0)
		inst.slots.setDemand(0)
	}
	sleep(10 * time.Minute)
	f.sim.withLock(func() {
		if f.sim.violation != "" {
			t.Error(f.sim.violation)
		}
	})
	if problem := f.findProblem(); problem != "" {
		t.Error(problem)
	}
	for _, inst := range f.running {
		inst.kill()
	}
	sleep(time.Minute)
}
