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
	maxMachines = 8
	// fleetAgeOut is longer than all the time that one check passes.
	fleetAgeOut = 20 * time.Minute
	// fleetSample keeps the real time of a check short.
	fleetSample = 500 * time.Millisecond
)

var domains = []string{"poa-a", "poa-b", "fln-c"}

// fleet drives several managers with random faults.
type fleet struct {
	w        *world
	alive    []*machine
	started  int
	document int64
	total    Amount
}

func (f *fleet) pick(t *rapid.T) *machine {
	if len(f.alive) == 0 {
		t.Skip("no machine")
	}
	return f.alive[rapid.IntRange(0, len(f.alive)-1).Draw(t, "machine")]
}

// start boots a new instance that has the newest document.
func (f *fleet) start(t *rapid.T) {
	if len(f.alive) == maxMachines {
		t.Skip("enough machines")
	}
	f.add(rapid.SampledFrom(domains).Draw(t, "domain"))
}

func (f *fleet) add(domain string) {
	f.started++
	m := f.w.start(fmt.Sprintf("%s-%d", domain, f.started), domain)
	f.alive = append(f.alive, m)
	m.manager.SetAllocation(f.allocation())
}

func (f *fleet) allocation() Allocation {
	return Allocation{Document: f.document, Total: f.total, FailureDomains: domains}
}

func (f *fleet) forget(m *machine) {
	f.alive = slices.DeleteFunc(f.alive, func(o *machine) bool { return o == m })
}

// vanish ends a machine for good.
func (f *fleet) vanish(t *rapid.T) {
	m := f.pick(t)
	m.kill()
	f.forget(m)
	if rapid.Bool().Draw(t, "unlisted") {
		f.w.set(func() { delete(f.w.list, m.id) })
	}
}

// restart ends a process and starts another one on its machine.
func (f *fleet) restart(t *rapid.T) {
	m := f.pick(t)
	m.kill()
	f.forget(m)
	f.alive = append(f.alive, f.w.start(m.id, m.domain))
}

func (f *fleet) shutdown(t *rapid.T) {
	m := f.pick(t)
	m.thaw()
	_ = m.shutdown(2 * time.Second)
	f.forget(m)
}

func (f *fleet) freeze(t *rapid.T) {
	m := f.pick(t)
	if rarely(t, "frozen") {
		m.freeze()
		return
	}
	m.thaw()
}

func (f *fleet) cut(t *rapid.T) {
	m := f.pick(t)
	platform, peers := rarely(t, "platform"), rarely(t, "peers")
	f.w.set(func() { m.cutOff, m.deaf = platform, peers })
}

func (f *fleet) outage(t *rapid.T) {
	down := rarely(t, "down")
	f.w.set(func() { f.w.down = down })
}

func (f *fleet) list(t *rapid.T) {
	m := f.pick(t)
	listed := rapid.Bool().Draw(t, "listed")
	f.w.set(func() {
		delete(f.w.list, m.id)
		if listed {
			f.w.list[m.id] = true
		}
	})
}

func (f *fleet) loseUpdate(t *rapid.T) {
	fault := rapid.SampledFrom([]loss{loseAnswer, loseUpdate, delayUpdate}).Draw(t, "loss")
	f.w.set(func() { f.w.lose = fault })
}

func (f *fleet) late(*rapid.T) { f.w.deliverLate() }

func (f *fleet) dropAnswer(t *rapid.T) {
	m := f.pick(t)
	f.w.set(func() { m.dropNext = true })
}

func (f *fleet) demand(t *rapid.T) {
	m := f.pick(t)
	m.connections.demand(rapid.IntRange(0, 40).Draw(t, "connections"))
	m.slots.demand(rapid.IntRange(0, 5).Draw(t, "slots"))
}

// edit gives a newer document to some of the instances.
func (f *fleet) edit(t *rapid.T) {
	f.document++
	f.total = Amount{rapid.IntRange(20, 40).Draw(t, "connections"), rapid.IntRange(3, 8).Draw(t, "slots")}
	for _, m := range f.alive {
		if rapid.Bool().Draw(t, "informed") {
			m.manager.SetAllocation(f.allocation())
		}
	}
}

func (f *fleet) pass(t *rapid.T) {
	after(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
}

func (f *fleet) passLong(t *rapid.T) {
	after(time.Duration(rapid.IntRange(10, 40).Draw(t, "s")) * time.Second)
}

// rarely is true one time in four, so that most of the fleet works most of the
// time and faults meet something.
func rarely(t *rapid.T, name string) bool {
	return rapid.IntRange(0, 3).Draw(t, name) == 0
}

func (f *fleet) check(t *rapid.T) {
	synctest.Wait()
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	if f.w.violation != "" {
		t.Fatal(f.w.violation)
	}
}

// heal ends all faults. Every domain with an instance must then get its seat
// back, and all of the total must be in seats again.
func (f *fleet) heal(t *rapid.T) {
	f.w.set(func() {
		f.w.down, f.w.lose = false, loseNothing
		clear(f.w.list)
		for _, m := range f.alive {
			m.cutOff, m.deaf = false, false
			f.w.list[m.id] = true
		}
	})
	f.w.deliverLate()
	for _, m := range f.alive {
		m.thaw()
		m.connections.demand(0)
		m.slots.demand(0)
		m.manager.SetAllocation(f.allocation())
	}
	for range int(2*fleetAgeOut/time.Minute) + 10 {
		after(time.Minute)
		f.check(t)
		if f.fault() == "" {
			return
		}
	}
	t.Fatal(f.fault())
}

// fault tells what is not as it should be in a healthy fleet.
func (f *fleet) fault() string {
	l := f.w.ledger()
	if len(f.alive) == 0 {
		return ""
	}
	// A domain without any instance keeps the seat of its last one.
	if !f.orphaned(l) && (l.Total != f.total || l.Sum() != f.total) {
		return fmt.Sprintf("the total is %+v, the ledger has %+v of %+v", f.total, l.Sum(), l.Total)
	}
	for _, domain := range domains {
		if fault := f.domainFault(domain, l); fault != "" {
			return fault
		}
	}
	return ""
}

// orphaned reports whether a seat is held by an instance that is no more.
func (f *fleet) orphaned(l Ledger) bool {
	for _, s := range l.Seats {
		alive := slices.ContainsFunc(f.alive, func(m *machine) bool { return s.Holder.same(m.manager.self) })
		if !s.free() && !alive {
			return true
		}
	}
	return false
}

func (f *fleet) domainFault(domain string, l Ledger) string {
	s := l.seat(domain)
	if s == nil {
		return "no seat of " + domain
	}
	inDomain, holds := 0, false
	for _, m := range f.alive {
		if m.domain != domain {
			continue
		}
		inDomain++
		holds = holds || s.Holder.same(m.manager.self)
		if mine := l.seatOf(m.manager.self); mine != nil && mine.Size != m.manager.Limit() {
			return fmt.Sprintf("%s uses %+v of its seat %+v", m.id, m.manager.Limit(), mine.Size)
		}
	}
	if inDomain > 0 && !holds {
		return fmt.Sprintf("no instance of %s has its seat: %+v", domain, s)
	}
	return ""
}

func TestSharesNeverPassTheTotal(t *testing.T) {
	// Instances start, die, restart, freeze, are cut off and stop as planned,
	// while the platform loses updates and answers and lists the wrong
	// instances. At every moment members hold no more than the ledger's seats
	// sum to, and that is no more than the total; when all is well again,
	// nothing of the total is lost.
	for batch := range *batches {
		t.Run(strconv.Itoa(batch), func(t *testing.T) {
			seedBatch(batch)
			synctest.Test(t, checkFleet)
		})
	}
}

func checkFleet(t *testing.T) {
	rapid.Check(bubble{t}, func(t *rapid.T) {
		f := &fleet{w: newWorld(t), document: 1, total: total}
		f.w.ageOut, f.w.sample = fleetAgeOut, fleetSample
		defer f.w.end()
		for _, domain := range domains {
			f.add(domain)
		}
		after(5 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"start":      f.start,
			"start2":     f.start,
			"vanish":     f.vanish,
			"restart":    f.restart,
			"shutdown":   f.shutdown,
			"freeze":     f.freeze,
			"cut":        f.cut,
			"outage":     f.outage,
			"list":       f.list,
			"loseUpdate": f.loseUpdate,
			"late":       f.late,
			"dropAnswer": f.dropAnswer,
			"demand":     f.demand,
			"demand2":    f.demand,
			"demand3":    f.demand,
			"edit":       f.edit,
			"pass":       f.pass,
			"pass2":      f.pass,
			"passLong":   f.passLong,
			"":           f.check,
		})
		f.heal(t)
	})
}

// bubble hides the methods of a test that must not be called in a bubble.
type bubble struct{ testing.TB }
