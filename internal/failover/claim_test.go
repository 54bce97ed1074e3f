package failover_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/failover"
	"github.com/topazrock/topazrock/internal/platform"
	store "github.com/topazrock/topazrock/internal/standin/platform"
)

// steps lists the points of a failover at which a claimer can die or freeze.
var steps = []failover.Step{
	failover.StepSuspected, failover.StepWitnessed, failover.StepClaimed, failover.StepFenced,
	failover.StepChosen, failover.StepPromoted, failover.StepRecorded, failover.StepAttached,
}

// onFirstStep calls f once, with the first instance that reaches the step.
func (x *cluster) onFirstStep(step failover.Step, f func(i *instance)) {
	reached := false
	for _, i := range x.instances {
		i.onStep = func(s failover.Step) {
			x.mu.Lock()
			first := s == step && !reached
			reached = reached || first
			x.mu.Unlock()
			if first {
				f(i)
			}
		}
	}
}

// survivor returns an instance other than dead.
func (x *cluster) survivor(dead *instance) *instance {
	if x.instances[1] == dead {
		return x.instances[2]
	}
	return x.instances[1]
}

// The primary is killed, and the instance that claims the next term dies at one
// step of the failover. Callers see a longer gap. Another instance finishes the
// failover or claims the following term, and there is exactly one primary.
func TestClaimerDiesAtEachStep(t *testing.T) {
	for _, step := range steps {
		t.Run(string(step), func(t *testing.T) {
			withCluster(t, seed, func(x *cluster) {
				var dead *instance
				x.onFirstStep(step, func(i *instance) {
					dead = i
					x.killInstance(i)
				})
				x.wantWritable(x.instances[2], "before")
				x.nodes[0].Kill()
				x.advance(1500 * time.Millisecond)
				if dead == nil {
					x.t.Fatal("the step was not reached")
				}
				term, primaries := x.primaries()
				if len(primaries) != 1 || term > 3 {
					x.t.Fatalf("term %d, primaries %v", term, primaries)
				}
				x.wantWritable(x.survivor(dead), "after")
			})
		})
	}
}

// The primary is killed, and the instance that claims the next term freezes at one step of
// the failover. It resumes after five seconds, when another instance has claimed the
// following term. What it does then must change nothing.
func TestClaimerFreezesAtEachStepAndThaws(t *testing.T) {
	for _, step := range steps {
		t.Run(string(step), func(t *testing.T) {
			withCluster(t, seed, func(x *cluster) {
				thaw := make(chan struct{})
				var frozen *instance
				x.onFirstStep(step, func(i *instance) {
					frozen = i
					x.net.Freeze(i.ip)
					<-thaw
				})
				x.nodes[0].Kill()
				x.advance(5 * time.Second)
				if frozen == nil {
					x.t.Fatal("the step was not reached")
				}
				x.wantWritable(x.survivor(frozen), "while frozen")
				term, primaries := x.primaries()
				x.net.Thaw(frozen.ip)
				close(thaw)
				x.advance(5 * time.Second)
				termAfter, primariesAfter := x.primaries()
				if termAfter != term || len(primariesAfter) != 1 || primariesAfter[0] != primaries[0] {
					x.t.Errorf("term %d with primaries %v became %d with primaries %v", term, primaries, termAfter, primariesAfter)
				}
				x.wantWritable(frozen, "thawed")
			})
		})
	}
}

// The platform stores the claim and its answer is lost. The claimer must recognize
// its own claim and continue in the same term instead of treating it as a rival's.
func TestClaimWithLostAnswerIsResolved(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		x.store.SetFaults(store.Faults{Delay: platformDelay, LoseResponses: 1})
		x.nodes[0].Kill()
		x.advance(time.Second)
		x.wantPrimary(2)
		is.Equal(len(x.gaps), 1)
		is.True(x.gaps[0].Total() < 400*time.Millisecond)
		x.wantWritable(x.instances[1], "k")
	})
}

// All three instances claim at the same time: each is blocked before its claim
// until the others reach it too. One is granted the term; the others must give up.
func TestRacingClaimersGetOneTerm(t *testing.T) {
	for s := range uint64(8) {
		withCluster(t, s, func(x *cluster) {
			is := is.New(x.t)
			allReady := make(chan struct{})
			waiting := 0
			for _, i := range x.instances {
				i.onStep = func(step failover.Step) {
					if step != failover.StepWitnessed {
						return
					}
					x.mu.Lock()
					waiting++
					if waiting == len(x.instances) {
						close(allReady)
					}
					x.mu.Unlock()
					<-allReady
				}
			}
			x.nodes[0].Kill()
			x.advance(2 * time.Second)
			is.Equal(waiting, len(x.instances))
			is.Equal(len(x.gaps), 1)
			x.wantPrimary(2)
			x.wantWritable(x.instances[1], "k")
		})
	}
}

// The platform is down for a minute while the primary is healthy: writes continue.
// The primary is lost while the platform is down: writes are refused until the
// platform answers again, and then a member is promoted.
func TestPlatformOutage(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		x.store.SetFaults(store.Faults{Outage: true})
		for k := range 60 {
			x.advance(time.Second)
			x.wantWritable(x.instances[k%3], fmt.Sprintf("out-%d", k))
		}
		x.nodes[0].Kill()
		x.advance(30 * time.Second)
		term, primaries := x.primaries()
		is.Equal(int(term), 1)
		is.Equal(len(primaries), 1) // the killed primary's last status
		is.True(x.write(x.instances[1], "refused") != nil)
		x.store.SetFaults(store.Faults{Delay: platformDelay})
		x.advance(2 * time.Second)
		x.wantPrimary(2)
		x.wantWritable(x.instances[1], "k")
	})
}

// The platform is slow when the primary is lost, slower than the timeout of a call:
// answers arrive after the claimer gave up, but the updates still take effect.
func TestPlatformSlowerThanCallTimeout(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		x.store.SetFaults(store.Faults{Delay: 700 * time.Millisecond})
		x.nodes[0].Kill()
		x.advance(5 * time.Second)
		x.store.SetFaults(store.Faults{Delay: platformDelay})
		x.advance(3 * time.Second)
		_, primaries := x.primaries()
		if len(primaries) != 1 {
			x.t.Fatalf("primaries %v", primaries)
		}
		x.wantWritable(x.instances[1], "k")
	})
}

// The group's object cannot be decoded. No instance may guess a term; the failover
// waits until an operator has repaired the object.
func TestMalformedObjectStopsClaims(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		o, err := x.store.Put(x.t.Context(), platform.KindGroup, "g", []byte("{"), 0)
		is.NoErr(err)
		x.nodes[0].Kill()
		x.advance(5 * time.Second)
		term, _ := x.primaries()
		is.Equal(int(term), 1)
		_, err = x.store.Put(x.t.Context(), platform.KindGroup, "g", []byte(`{"term":1}`), o.Version)
		is.NoErr(err)
		x.advance(3 * time.Second)
		x.wantPrimary(2)
		x.wantWritable(x.instances[1], "k")
	})
}
