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

// steps are the points of a claim at which a claimer can die or freeze.
var steps = []failover.Step{
	failover.StepSuspected, failover.StepWitnessed, failover.StepClaimed, failover.StepFenced,
	failover.StepChosen, failover.StepPromoted, failover.StepRecorded, failover.StepLearned,
}

// onFirstStep calls f with the first instance that comes to the step, once.
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

// survivor returns an instance other than the one given.
func (x *cluster) survivor(dead *instance) *instance {
	if x.instances[1] == dead {
		return x.instances[2]
	}
	return x.instances[1]
}

// The primary is killed, and the instance that claims the next term dies at one
// step of it. Callers see a longer gap; another instance finishes or claims the
// term after that, and exactly one member leads.
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
				term, leading := x.primaries()
				if len(leading) != 1 || term > 3 {
					x.t.Fatalf("term %d, leading %v", term, leading)
				}
				x.wantWritable(x.survivor(dead), "after")
			})
		})
	}
}

// The same, but the claimer stops at the step and goes on after five seconds,
// when another has claimed the next term. What it then does must move nothing.
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
				term, leading := x.primaries()
				x.net.Thaw(frozen.ip)
				close(thaw)
				x.advance(5 * time.Second)
				after, still := x.primaries()
				if after != term || len(still) != 1 || still[0] != leading[0] {
					x.t.Errorf("term %d led by %v became %d led by %v", term, leading, after, still)
				}
				x.wantWritable(frozen, "thawed")
			})
		})
	}
}

// The platform stores the claim and its answer is lost. The claimer must find
// its own claim and go on in the same term, and not take it for a rival's.
func TestClaimWithLostAnswerIsResolved(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		x.store.SetFaults(store.Faults{Delay: platformDelay, LoseAnswers: 1})
		x.nodes[0].Kill()
		x.advance(time.Second)
		x.wantPrimary(2)
		is.Equal(len(x.gaps), 1)
		is.True(x.gaps[0].Total() < 400*time.Millisecond)
		x.wantWritable(x.instances[1], "k")
	})
}

// All three instances claim at the same moment: each is stopped before its
// claim until the others are there. One gets the term; the others must leave it.
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

// The platform is down for a minute while the primary is well: writes go on. It
// is down when the primary is lost: writes are refused until it answers again,
// and then the promotion follows.
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
		term, leading := x.primaries()
		is.Equal(int(term), 1)
		is.Equal(len(leading), 1) // the dead one's last state
		is.True(x.write(x.instances[1], "refused") != nil)
		x.store.SetFaults(store.Faults{Delay: platformDelay})
		x.advance(2 * time.Second)
		x.wantPrimary(2)
		x.wantWritable(x.instances[1], "k")
	})
}

// The platform is slow when the primary is lost, slower than one call may take:
// answers come after the claimer gave up, and take effect nevertheless.
func TestPlatformSlowerThanItsBound(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		x.store.SetFaults(store.Faults{Delay: 700 * time.Millisecond})
		x.nodes[0].Kill()
		x.advance(5 * time.Second)
		x.store.SetFaults(store.Faults{Delay: platformDelay})
		x.advance(3 * time.Second)
		_, leading := x.primaries()
		if len(leading) != 1 {
			x.t.Fatalf("leading %v", leading)
		}
		x.wantWritable(x.instances[1], "k")
	})
}

// The group's object cannot be read. Nobody may guess a term; the failover
// waits until an operator has put it right.
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
