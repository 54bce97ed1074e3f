package instance

import (
	"sync/atomic"
	"time"

	"github.com/topazrock/topazrock/internal/failover"
)

// matrixStep is one column of the fault matrix: a named point in a flow at which the fault
// is injected.
type matrixStep struct {
	flow, name string
	// arm arranges for inject to run once when the point is reached, and starts the flow
	// if the load does not run it.
	arm func(tc *testCluster, inject func())
}

// allSteps are the columns of the fault matrix.
var allSteps = []matrixStep{
	{"write", "statement arrives", atMember(0, "statement.before")},
	{"write", "before commit", atMember(0, "commit.before")},
	{"write", "committed, not answered", atMember(0, "commit.after_before_answer")},
	{"write", "before a replica takes it", atMember(1, "replica.take.before")},
	{"read", "statement arrives at a replica", atMember(1, "statement.before")},
	{"read", "barrier asks the primary", atMember(0, "control.status.before")},
	{"transaction", "open", atLoad("transaction.open")},
	{"transaction", "before COMMIT", atLoad("transaction.commit")},
	{"roam", "moved, not yet read", atLoad("roam.moved")},
	{"failover", "suspected", afterKill(failoverStep(failover.StepSuspected))},
	{"failover", "term not yet claimed", afterKill(atPlatform("groups.put.before"))},
	{"failover", "term claimed, not answered", afterKill(atPlatform("groups.put.after_before_answer"))},
	{"failover", "member not yet fenced", afterKill(atAnyMember("control.enter_term.before"))},
	{"failover", "member fenced, not answered", afterKill(atAnyMember("control.enter_term.after_before_answer"))},
	{"failover", "not yet promoted", afterKill(atAnyMember("control.promote.before"))},
	{"failover", "promoted, not answered", afterKill(atAnyMember("control.promote.after_before_answer"))},
	{"failover", "replica not yet attached", afterKill(atAnyMember("replica.attach.before"))},
	{"apply", "not yet stored", whileApplying(atPlatform("services.put.before"))},
	{"apply", "stored, not answered", whileApplying(atPlatform("services.put.after_before_answer"))},
	{"drain", "drain begins", atDrain},
	{"lend", "seat not yet changed", whileMovingHome(atPlatform("shares.put.before"))},
	{"lend", "seat changed, not answered", whileMovingHome(atPlatform("shares.put.after_before_answer"))},
}

// injectOnce returns a hook that injects the fault when its point is reached for the first
// time. The fault runs in its own goroutine, and the hook returns a millisecond later. A
// sync.Once would not work here: goroutines blocked in it stop virtual time.
func injectOnce(point string, inject func()) func(string) {
	var injected atomic.Bool
	return func(at string) {
		if at == point && injected.CompareAndSwap(false, true) {
			go inject()
			time.Sleep(time.Millisecond)
		}
	}
}

func atMember(i int, point string) func(*testCluster, func()) {
	return func(tc *testCluster, inject func()) { tc.nodes[i].SetHook(injectOnce(point, inject)) }
}

func atAnyMember(point string) func(*testCluster, func()) {
	return func(tc *testCluster, inject func()) {
		hook := injectOnce(point, inject)
		for _, n := range tc.nodes {
			n.SetHook(hook)
		}
	}
}

func atPlatform(point string) func(*testCluster, func()) {
	return func(tc *testCluster, inject func()) { tc.store.SetHook(injectOnce(point, inject)) }
}

func atLoad(point string) func(*testCluster, func()) {
	return func(tc *testCluster, inject func()) {
		hook := injectOnce(point, inject)
		tc.loadHook.Store(&hook)
	}
}

func failoverStep(s failover.Step) func(*testCluster, func()) {
	return func(tc *testCluster, inject func()) {
		hook := injectOnce(string(s), inject)
		tc.onFailoverStep(func(s failover.Step) { hook(string(s)) })
	}
}

// afterKill arms the point and kills the primary to cause a failover.
func afterKill(arm func(*testCluster, func())) func(*testCluster, func()) {
	return func(tc *testCluster, inject func()) {
		arm(tc, inject)
		tc.killMember(0)
	}
}

// whileApplying arms the point and applies a document.
func whileApplying(arm func(*testCluster, func())) func(*testCluster, func()) {
	return func(tc *testCluster, inject func()) {
		arm(tc, inject)
		go tc.reapplyDocument()
	}
}

// whileMovingHome arms the point and moves a home: the instance of fln-c is listed as
// leaving and then as staying again, so that it releases its share and acquires one.
func whileMovingHome(arm func(*testCluster, func())) func(*testCluster, func()) {
	return func(tc *testCluster, inject func()) {
		arm(tc, inject)
		list := tc.inventory()
		list.Instances[2].Leaving = true
		tc.store.SetInventory(list)
		time.Sleep(3 * time.Second)
		tc.store.SetInventory(tc.inventory())
	}
}

// atDrain starts the graceful shutdown of an instance and injects the fault concurrently.
func atDrain(tc *testCluster, inject func()) {
	tc.draining[1] = true
	tc.stop[1]()
	go inject()
}
