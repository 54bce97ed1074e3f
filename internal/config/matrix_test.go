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

// matrixCase is one cell of TestApplyMatrix: a change of a document with one
// fault injected at one step.
type matrixCase struct {
	*testFleet
	cancelApply context.CancelFunc
	// answerLost reports that the answer to the update in transit is lost.
	answerLost bool
	// highestSeen is the highest version that was current on each instance.
	mu          sync.Mutex
	highestSeen map[*Store]int64
}

// faultDuration is how long a fault lasts, and convergenceTime is how long
// after its end all instances must agree.
const (
	faultDuration   = 30 * time.Second
	convergenceTime = 30 * time.Second
)

// matrixFaults inject a fault and return a function that ends it.
var matrixFaults = map[string]func(r *matrixCase) (end func()){
	"none": func(*matrixCase) func() { return func() {} },
	"platform down": func(r *matrixCase) func() {
		r.platform.SetFaults(standin.Faults{Outage: true})
		return func() { r.platform.SetFaults(standin.Faults{}) }
	},
	"platform slow": func(r *matrixCase) func() {
		r.platform.SetFaults(standin.Faults{Delay: 3 * time.Second})
		return func() { r.platform.SetFaults(standin.Faults{}) }
	},
	"platform answer lost": func(r *matrixCase) func() {
		r.answerLost = true
		return func() {}
	},
	"platform answer lost, then down": func(r *matrixCase) func() {
		r.answerLost = true
		r.platform.SetFaults(standin.Faults{Outage: true})
		return func() { r.platform.SetFaults(standin.Faults{}) }
	},
	"platform store lost": func(r *matrixCase) func() {
		empty := standin.NewStore()
		empty.SetInventory(r.inventory)
		r.platform.replace(empty)
		return func() {}
	},
	"operator race": func(r *matrixCase) func() {
		_, _ = r.instances[1].Apply(r.t.Context(), "orders", documentText("orders", 77), 1, "bia")
		return func() {}
	},
	"operator hangs up": func(r *matrixCase) func() {
		r.cancelApply()
		return func() {}
	},
	"own failure domain cut off": func(r *matrixCase) func() {
		r.setDomainCut("poa-a", true)
		return func() { r.setDomainCut("poa-a", false) }
	},
	"another failure domain cut off": func(r *matrixCase) func() {
		r.setDomainCut("poa-b", true)
		return func() { r.setDomainCut("poa-b", false) }
	},
	"peers silent": func(r *matrixCase) func() {
		for _, m := range []string{methodPush, methodDigest, methodCompare} {
			r.net.setFlag(r.net.droppedMethods, m, true)
		}
		return func() {
			for _, m := range []string{methodPush, methodDigest, methodCompare} {
				r.net.setFlag(r.net.droppedMethods, m, false)
			}
		}
	},
	"instance killed": func(r *matrixCase) func() {
		address := r.inventory.Instances[0].PeerAddress
		r.cancelApply()
		r.instances[0].link.disconnect()
		r.net.setFlag(r.net.cutAddresses, address, true)
		return func() {
			r.instances[0].stop()
			r.net.setFlag(r.net.cutAddresses, address, false)
			r.instances[0] = r.startInstance(0)
			r.checkVersionsIncrease(r.instances[0])
		}
	},
}

// matrixSteps register a function to run at a step of the change on instance 0.
var matrixSteps = map[string]func(r *matrixCase, inject func()){
	"read": func(r *matrixCase, inject func()) { r.instances[0].link.onNextGet(inject) },
	"store, before": func(r *matrixCase, inject func()) {
		r.instances[0].link.interceptPuts(1, func(forward func() (platform.Object, error)) (platform.Object, error) {
			inject()
			if r.answerLost {
				return loseRequest(forward)
			}
			return r.forwardIfConnected(forward)
		})
	},
	"store, before the answer": func(r *matrixCase, inject func()) {
		r.instances[0].link.interceptPuts(1, func(forward func() (platform.Object, error)) (platform.Object, error) {
			o, err := r.forwardIfConnected(forward)
			inject()
			if linkCtx, linkErr := r.instances[0].link.requireConnected(); r.answerLost || linkErr != nil || linkCtx.Err() != nil {
				return platform.Object{}, platform.ErrOutcomeUnknown
			}
			return o, err
		})
	},
	"push":   func(r *matrixCase, inject func()) { r.net.onNextCall(methodPush, inject) },
	"digest": func(r *matrixCase, inject func()) { r.net.onNextCall(methodDigest, inject) },
}

// forwardIfConnected forwards an update unless the connection to the platform
// has been cut in the meantime.
func (r *matrixCase) forwardIfConnected(forward func() (platform.Object, error)) (platform.Object, error) {
	if _, err := r.instances[0].link.requireConnected(); err != nil {
		return platform.Object{}, err
	}
	return forward()
}

// checkVersionsIncrease checks that the current versions on an instance only
// increase.
func (r *matrixCase) checkVersionsIncrease(n *testInstance) {
	n.Subscribe(func(a Applied) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if a.Version <= r.highestSeen[n.Store] {
			panic(fmt.Sprintf("%s went from version %d to %d", n.id, r.highestSeen[n.Store], a.Version))
		}
		r.highestSeen[n.Store] = a.Version
	})
}

// An operator changes a document through one of nine instances, and one fault
// of 30 seconds occurs at one step of the change. The reported outcome must be
// true in the end: an accepted change is in the document's history on every
// instance, a rejected one on none. No instance may revert to a lower version,
// and all must agree within convergenceTime after the fault.
func TestApplyMatrix(t *testing.T) {
	for step, runAtStep := range matrixSteps {
		for fault, inject := range matrixFaults {
			t.Run(step+"/"+fault, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runMatrixCase(t, runAtStep, inject) })
			})
		}
	}
}

func runMatrixCase(t *testing.T, runAtStep func(*matrixCase, func()), inject func(*matrixCase) func()) {
	r := &matrixCase{testFleet: newFleetWithRelays(t, 9, 1), highestSeen: map[*Store]int64{}}
	defer r.stopAll()
	r.mustApply(r.instances[0], "orders", 2, 0)
	r.waitForVersion("orders", 1, 10*time.Second)
	for _, n := range r.instances {
		r.checkVersionsIncrease(n)
	}
	applier := r.instances[0]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r.cancelApply = cancel
	endFault := make(chan func(), 1)
	runAtStep(r, func() { endFault <- inject(r) })
	o, err := applier.Apply(ctx, "orders", documentText("orders", 50), 1, "ana")
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(faultDuration)
	select {
	case end := <-endFault:
		end()
	default:
		t.Fatal("the step was not reached")
	}
	time.Sleep(convergenceTime)
	r.verifyOutcome(applier, o)
	t.Logf("reported %q %q", o.State, o.Detail)
}

// verifyOutcome compares the reported outcome with the final state of the
// documents.
func (r *matrixCase) verifyOutcome(applier *testInstance, o Outcome) {
	final, _ := applier.Current("orders")
	if applier != r.instances[0] {
		final, _ = r.instances[0].Current("orders")
	}
	for _, n := range r.instances {
		a, _ := n.Current("orders")
		if a.Change != final.Change {
			r.t.Fatalf("instances disagree: %+v and %+v", a.Change, final.Change)
		}
	}
	tookEffect := false
	for _, c := range final.changes() {
		tookEffect = tookEffect || c.ID == o.ChangeID
	}
	if settled, ok := applier.SettledOutcome(o.ChangeID); ok {
		o = settled
	}
	switch {
	case o.State == Accepted && !tookEffect, o.State == NoEffect && tookEffect, o.State == NotAccepted && tookEffect:
		r.t.Fatalf("reported outcome %q, took effect: %t", o.State, tookEffect)
	case o.State == Settling && applier == r.instances[0]:
		r.t.Fatalf("still not settled: %+v", o)
	}
}
