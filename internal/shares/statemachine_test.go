package shares

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const (
	maxInstances = 8
	// fleetHolderExpiry is longer than the virtual time of one check.
	fleetHolderExpiry = 20 * time.Minute
	// fleetSampleInterval keeps the real time of a check short.
	fleetSampleInterval = 500 * time.Millisecond
)

var domains = []string{"poa-a", "poa-b", "fln-c"}

// fleet drives several managers with random faults.
type fleet struct {
	sim      *simulation
	running  []*fakeInstance
	started  int
	document int64
	total    Amount
}

func (f *fleet) pickInstance(t *rapid.T) *fakeInstance {
	if len(f.running) == 0 {
		t.Skip("no instance runs")
	}
	return f.running[rapid.IntRange(0, len(f.running)-1).Draw(t, "machine")]
}

// startInstance starts a new instance that has the newest document.
func (f *fleet) startInstance(t *rapid.T) {
	if len(f.running) == maxInstances {
		t.Skip("the maximum number of instances runs")
	}
	f.addInstance(rapid.SampledFrom(domains).Draw(t, "domain"))
}

func (f *fleet) addInstance(domain string) {
	f.started++
	inst := f.sim.startInstance(fmt.Sprintf("%s-%d", domain, f.started), domain)
	f.running = append(f.running, inst)
	inst.manager.SetAllocation(f.allocation())
}

func (f *fleet) allocation() Allocation {
	return Allocation{DocumentVersion: f.document, Total: f.total, FailureDomains: domains}
}

func (f *fleet) removeInstance(inst *fakeInstance) {
	f.running = slices.DeleteFunc(f.running, func(o *fakeInstance) bool { return o == inst })
}

// vanish kills an instance for good.
func (f *fleet) vanish(t *rapid.T) {
	inst := f.pickInstance(t)
	inst.kill()
	f.removeInstance(inst)
	if rapid.Bool().Draw(t, "unlisted") {
		f.sim.withLock(func() { delete(f.sim.inventory, inst.id) })
	}
}

// restart kills a process and starts another one on the same instance.
func (f *fleet) restart(t *rapid.T) {
	inst := f.pickInstance(t)
	inst.kill()
	f.removeInstance(inst)
	f.running = append(f.running, f.sim.startInstance(inst.id, inst.domain))
}

func (f *fleet) shutdown(t *rapid.T) {
	inst := f.pickInstance(t)
	inst.thaw()
	_ = inst.shutdown(2 * time.Second)
	f.removeInstance(inst)
}

func (f *fleet) freezeOrThaw(t *rapid.T) {
	inst := f.pickInstance(t)
	if oneInFour(t, "frozen") {
		inst.freeze()
		return
	}
	inst.thaw()
}

func (f *fleet) cutNetwork(t *rapid.T) {
	inst := f.pickInstance(t)
	platform, peers := oneInFour(t, "platform"), oneInFour(t, "peers")
	f.sim.withLock(func() { inst.platformCut, inst.peersCut = platform, peers })
}

func (f *fleet) setPlatformOutage(t *rapid.T) {
	down := oneInFour(t, "down")
	f.sim.withLock(func() { f.sim.platformDown = down })
}

func (f *fleet) changeInventory(t *rapid.T) {
	inst := f.pickInstance(t)
	listed := rapid.Bool().Draw(t, "listed")
	f.sim.withLock(func() {
		delete(f.sim.inventory, inst.id)
		if listed {
			f.sim.inventory[inst.id] = true
		}
	})
}

func (f *fleet) injectUpdateFault(t *rapid.T) {
	fault := rapid.SampledFrom([]updateFault{loseAnswer, loseUpdate, delayUpdate}).Draw(t, "loss")
	f.sim.withLock(func() { f.sim.nextFault = fault })
}

func (f *fleet) deliverDelayed(*rapid.T) { f.sim.deliverDelayed() }

func (f *fleet) dropAnswer(t *rapid.T) {
	inst := f.pickInstance(t)
	f.sim.withLock(func() { inst.dropNextAnswer = true })
}

func (f *fleet) changeDemand(t *rapid.T) {
	inst := f.pickInstance(t)
	inst.connections.setDemand(rapid.IntRange(0, 40).Draw(t, "connections"))
	inst.slots.setDemand(rapid.IntRange(0, 5).Draw(t, "slots"))
}

// editDocument gives a newer document to some of the instances.
func (f *fleet) editDocument(t *rapid.T) {
	f.document++
	f.total = Amount{rapid.IntRange(20, 40).Draw(t, "connections"), rapid.IntRange(3, 8).Draw(t, "slots")}
	for _, inst := range f.running {
		if rapid.Bool().Draw(t, "informed") {
			inst.manager.SetAllocation(f.allocation())
		}
	}
}

func (f *fleet) advance(t *rapid.T) {
	sleep(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
}

func (f *fleet) advanceLong(t *rapid.T) {
	sleep(time.Duration(rapid.IntRange(10, 40).Draw(t, "s")) * time.Second)
}

// oneInFour is true one time in four: if faults were more frequent, most instances would
// be faulty most of the time, and a new fault would change little.
func oneInFour(t *rapid.T, name string) bool {
	return rapid.IntRange(0, 3).Draw(t, name) == 0
}

func (f *fleet) checkInvariants(t *rapid.T) {
	synctest.Wait()
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	if f.sim.violation != "" {
		t.Fatal(f.sim.violation)
	}
}

// healAndVerify ends all faults. Every domain with an instance must then get its share
// back, and the shares must sum to the total again.
func (f *fleet) healAndVerify(t *rapid.T) {
	f.sim.withLock(func() {
		f.sim.platformDown, f.sim.nextFault = false, noFault
		clear(f.sim.inventory)
		for _, inst := range f.running {
			inst.platformCut, inst.peersCut = false, false
			f.sim.inventory[inst.id] = true
		}
	})
	f.sim.deliverDelayed()
	for _, inst := range f.running {
		inst.thaw()
		inst.connections.setDemand(0)
		inst.slots.setDemand(0)
		inst.manager.SetAllocation(f.allocation())
	}
	for range int(2*fleetHolderExpiry/time.Minute) + 10 {
		sleep(time.Minute)
		f.checkInvariants(t)
		if f.findProblem() == "" {
			return
		}
	}
	t.Fatal(f.findProblem())
}

// findProblem describes what is wrong in a fleet without faults; empty if nothing is.
func (f *fleet) findProblem() string {
	l := f.sim.readLedger()
	if len(f.running) == 0 {
		return ""
	}
	// If the last instance of a domain vanished, its share stays held: only an instance
	// of the same domain may take it over.
	if !f.hasOrphanedShare(l) && (l.Total != f.total || l.Sum() != f.total) {
		return fmt.Sprintf("the total is %+v, the ledger has %+v of %+v", f.total, l.Sum(), l.Total)
	}
	for _, domain := range domains {
		if problem := f.findDomainProblem(domain, l); problem != "" {
			return problem
		}
	}
	return ""
}

// hasOrphanedShare reports whether a share is held by an instance that no longer runs.
func (f *fleet) hasOrphanedShare(l Ledger) bool {
	for _, s := range l.Shares {
		alive := slices.ContainsFunc(f.running, func(inst *fakeInstance) bool { return s.Holder.sameAs(inst.manager.self) })
		if !s.isFree() && !alive {
			return true
		}
	}
	return false
}

func (f *fleet) findDomainProblem(domain string, l Ledger) string {
	s := l.shareNamed(domain)
	if s == nil {
		return "no share of " + domain
	}
	inDomain, holds := 0, false
	for _, inst := range f.running {
		if inst.domain != domain {
			continue
		}
		inDomain++
		holds = holds || s.Holder.sameAs(inst.manager.self)
		if mine := l.shareOf(inst.manager.self); mine != nil && mine.Size != inst.manager.Limit() {
			return fmt.Sprintf("%s uses %+v of its share %+v", inst.id, inst.manager.Limit(), mine.Size)
		}
	}
	if inDomain > 0 && !holds {
		return fmt.Sprintf("no instance of %s has its share: %+v", domain, s)
	}
	return ""
}

func TestSharesNeverExceedTheTotal(t *testing.T) {
	// Instances start, die, restart, freeze, are cut off and stop as planned, while the
	// platform loses updates and answers and lists the wrong instances. At every moment
	// members hold no more than the ledger's shares sum to, and that is no more than
	// the total. When all faults have ended, the whole total is allocated again.
	for batch := range *seedBatches {
		t.Run(strconv.Itoa(batch), func(t *testing.T) {
			setSeed(batch)
			synctest.Test(t, checkFleet)
		})
	}
}

func checkFleet(t *testing.T) {
	rapid.Check(bubble{t}, func(t *rapid.T) {
		f := &fleet{sim: newSimulation(t), document: 1, total: total}
		f.sim.holderExpiry, f.sim.sampleInterval = fleetHolderExpiry, fleetSampleInterval
		defer f.sim.stop()
		for _, domain := range domains {
			f.addInstance(domain)
		}
		sleep(5 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"start":      f.startInstance,
			"start2":     f.startInstance,
			"vanish":     f.vanish,
			"restart":    f.restart,
			"shutdown":   f.shutdown,
			"freeze":     f.freezeOrThaw,
			"cut":        f.cutNetwork,
			"outage":     f.setPlatformOutage,
			"list":       f.changeInventory,
			"loseUpdate": f.injectUpdateFault,
			"late":       f.deliverDelayed,
			"dropAnswer": f.dropAnswer,
			"demand":     f.changeDemand,
			"demand2":    f.changeDemand,
			"demand3":    f.changeDemand,
			"edit":       f.editDocument,
			"pass":       f.advance,
			"pass2":      f.advance,
			"passLong":   f.advanceLong,
			"":           f.checkInvariants,
		})
		f.healAndVerify(t)
	})
}

// bubble hides the methods of a test that must not be called in a synctest bubble.
type bubble struct{ testing.TB }
