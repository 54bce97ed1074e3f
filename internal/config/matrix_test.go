package config

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// matrixRun is one cell: a change of a document with one fault at one step.
type matrixRun struct {
	*fleet
	hangUp context.CancelFunc
	// lost says that the answer to the update that is on its way is lost.
	lost bool
	// seen holds the highest version that each instance had in force.
	mu   sync.Mutex
	seen map[*Store]int64
}

// faultLasts is how long a fault lasts, and settleTime how long after its end
// the fleet must agree.
const (
	faultLasts = 30 * time.Second
	settleTime = 30 * time.Second
)

// matrixFaults strike at the step and return what ends them.
var matrixFaults = map[string]func(r *matrixRun) (end func()){
	"none": func(*matrixRun) func() { return func() {} },
	"platform down": func(r *matrixRun) func() {
		r.platform.SetFaults(standin.Faults{Outage: true})
		return func() { r.platform.SetFaults(standin.Faults{}) }
	},
	"platform slow": func(r *matrixRun) func() {
		r.platform.SetFaults(standin.Faults{Delay: 3 * time.Second})
		return func() { r.platform.SetFaults(standin.Faults{}) }
	},
	"platform answer lost": func(r *matrixRun) func() {
		r.lost = true
		return func() {}
	},
	"platform answer lost, then down": func(r *matrixRun) func() {
		r.lost = true
		r.platform.SetFaults(standin.Faults{Outage: true})
		return func() { r.platform.SetFaults(standin.Faults{}) }
	},
	"platform store lost": func(r *matrixRun) func() {
		empty := standin.NewStore()
		empty.SetInventory(r.inventory)
		r.platform.replace(empty)
		return func() {}
	},
	"operator race": func(r *matrixRun) func() {
		_, _ = r.nodes[1].Apply(r.t.Context(), "orders", text("orders", 77), 1, "bia")
		return func() {}
	},
	"operator hangs up": func(r *matrixRun) func() {
		r.hangUp()
		return func() {}
	},
	"own failure domain cut off": func(r *matrixRun) func() {
		r.cutDomain("poa-a", true)
		return func() { r.cutDomain("poa-a", false) }
	},
	"another failure domain cut off": func(r *matrixRun) func() {
		r.cutDomain("poa-b", true)
		return func() { r.cutDomain("poa-b", false) }
	},
	"peers silent": func(r *matrixRun) func() {
		for _, m := range []string{methodPush, methodDigest, methodCompare} {
			r.net.set(r.net.lose, m, true)
		}
		return func() {
			for _, m := range []string{methodPush, methodDigest, methodCompare} {
				r.net.set(r.net.lose, m, false)
			}
		}
	},
	"instance killed": func(r *matrixRun) func() {
		address := r.inventory.Instances[0].PeerAddress
		r.hangUp()
		r.nodes[0].gate.cut()
		r.net.set(r.net.cut, address, true)
		return func() {
			r.nodes[0].stop()
			r.net.set(r.net.cut, address, false)
			r.nodes[0] = r.start(0)
			r.follow(r.nodes[0])
		}
	},
}

// matrixSteps arm a function to run at a step of the change on instance 0.
var matrixSteps = map[string]func(r *matrixRun, strike func()){
	"read": func(r *matrixRun, strike func()) { r.nodes[0].gate.beforeGet(strike) },
	"store, before": func(r *matrixRun, strike func()) {
		r.nodes[0].gate.intercept(1, func(forward func() (platform.Object, error)) (platform.Object, error) {
			strike()
			if r.lost {
				return lostBefore(forward)
			}
			return r.overGate(forward)
		})
	},
	"store, before the answer": func(r *matrixRun, strike func()) {
		r.nodes[0].gate.intercept(1, func(forward func() (platform.Object, error)) (platform.Object, error) {
			o, err := r.overGate(forward)
			strike()
			if open, gone := r.nodes[0].gate.enter(); r.lost || gone != nil || open.Err() != nil {
				return platform.Object{}, platform.ErrOutcomeUnknown
			}
			return o, err
		})
	},
	"push":   func(r *matrixRun, strike func()) { r.net.on(methodPush, strike) },
	"digest": func(r *matrixRun, strike func()) { r.net.on(methodDigest, strike) },
}

// overGate forwards an update unless the way to the platform was cut meanwhile.
func (r *matrixRun) overGate(forward func() (platform.Object, error)) (platform.Object, error) {
	if _, err := r.nodes[0].gate.enter(); err != nil {
		return platform.Object{}, err
	}
	return forward()
}

// follow checks that the versions in force on an instance only rise.
func (r *matrixRun) follow(n *node) {
	n.Subscribe(func(a Applied) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if a.Version <= r.seen[n.Store] {
			panic(fmt.Sprintf("%s went from version %d to %d", n.id, r.seen[n.Store], a.Version))
		}
		r.seen[n.Store] = a.Version
	})
}

// An operator changes a document through one of nine instances and one fault
// strikes at one step of the change, lasting half a minute. Whatever the
// operator is told must be true in the end: an accepted change is in the
// document's history on every instance, a refused one never is. No instance
// ever goes back, and all agree soon after the fault is over.
func TestApplyMatrix(t *testing.T) {
	for step, arm := range matrixSteps {
		for fault, strike := range matrixFaults {
			t.Run(step+"/"+fault, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runCell(t, arm, strike) })
			})
		}
	}
}

func runCell(t *testing.T, arm func(*matrixRun, func()), strike func(*matrixRun) func()) {
	r := &matrixRun{fleet: newFleetWith(t, 9, 1), seen: map[*Store]int64{}}
	defer r.stop()
	r.apply(r.nodes[0], "orders", 2, 0)
	r.all("orders", 1, 10*time.Second)
	for _, n := range r.nodes {
		r.follow(n)
	}
	changing := r.nodes[0]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r.hangUp = cancel
	struck := make(chan func(), 1)
	arm(r, func() { struck <- strike(r) })
	o, err := changing.Apply(ctx, "orders", text("orders", 50), 1, "ana")
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(faultLasts)
	select {
	case end := <-struck:
		end()
	default:
		t.Fatal("the step was not reached")
	}
	time.Sleep(settleTime)
	r.verify(changing, o)
	t.Logf("told %q %q", o.State, o.Detail)
}

// verify holds what the operator was told against what came to be.
func (r *matrixRun) verify(changing *node, o Outcome) {
	final, _ := changing.Current("orders")
	if changing != r.nodes[0] {
		final, _ = r.nodes[0].Current("orders")
	}
	for _, n := range r.nodes {
		a, _ := n.Current("orders")
		if a.Change != final.Change {
			r.t.Fatalf("instances disagree: %+v and %+v", a.Change, final.Change)
		}
	}
	took := false
	for _, c := range final.changes() {
		took = took || c.ID == o.ChangeID
	}
	if settled, ok := changing.Settled(o.ChangeID); ok {
		o = settled
	}
	switch {
	case o.State == Accepted && !took, o.State == NoEffect && took, o.State == NotAccepted && took:
		r.t.Fatalf("the operator was told %q, took effect: %t", o.State, took)
	case o.State == Settling && changing == r.nodes[0]:
		r.t.Fatalf("still not settled: %+v", o)
	}
}
