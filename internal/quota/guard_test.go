package quota

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/workspace"
)

// runWarmSystem runs f with instances whose buckets are full.
func runWarmSystem(t *testing.T, domains, perDomain int, all []workspace.Workspace, f func(s *testSystem)) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSystem(t, domains, perDomain, all...)
		time.Sleep(warmUp)
		f(s)
		s.close()
	})
}

// manyWorkspaces returns workspaces with limits as unequal as in a large deployment.
func manyWorkspaces() []workspace.Workspace {
	var all []workspace.Workspace
	for n := range 75 {
		rate := max(6, 174/float64(n+1))
		all = append(all, limitedWorkspace(fmt.Sprintf("w%02d", n), rate, rate))
	}
	return all
}

// Normal load: the limit of every workspace is 1.6 times its rate of operations, which come to
// all instances equally. Guards against refusing operations below the limits.
func TestOperationsBelowLimitsAreNotRefused(t *testing.T) {
	all := manyWorkspaces()
	runWarmSystem(t, 3, 22, all, func(s *testSystem) {
		var loads []*sync.WaitGroup
		for _, w := range all {
			loads = append(loads, s.startLoad(w.Name, w.Limit.Rate/1.6, 20*time.Second))
		}
		asked, refused := 0, 0
		for i, w := range all {
			loads[i].Wait()
			s.checkLimit(w)
			asked += s.asked[w.Name]
			refused += s.refused[w.Name]
		}
		t.Logf("%d of %d refused; at most %d of %.0f allowed in a window", refused, asked, s.maxInWindow("w00"), testTolerance.Allowed(all[0].Limit))
		if float64(refused) > 0.002*float64(asked) {
			t.Errorf("%d of %d operations below the limits were refused", refused, asked)
		}
	})
}

// Uneven load: all callers of a workspace come to one failure domain, or to one instance.
func TestUnevenlyDistributedCallersAreNotRefused(t *testing.T) {
	w := limitedWorkspace("w", 24, 24)
	runWarmSystem(t, 3, 22, []workspace.Workspace{w}, func(s *testSystem) {
		s.startLoad("w", 15, 20*time.Second, 0, 3, 6, 9, 12).Wait()
		s.startLoad("w", 15, 20*time.Second, 7).Wait()
		s.checkLimit(w)
		is.New(t).True(s.refused["w"] <= s.asked["w"]/500)
	})
}

// Callers of a workspace request five times its limit, spread over all instances.
func TestOverloadedWorkspaceGetsItsLimitAndNoMore(t *testing.T) {
	for _, rate := range []float64{6, 174} {
		w := limitedWorkspace("w", rate, rate)
		runWarmSystem(t, 3, 22, []workspace.Workspace{w}, func(s *testSystem) {
			s.startLoad("w", rate*5, 20*time.Second).Wait()
			s.checkLimit(w)
			is.New(t).True(float64(len(s.begun["w"])) >= 0.95*20*rate)
		})
	}
}

// Guards against an overloaded workspace whose refusals cost another workspace tokens.
func TestOverloadedWorkspaceDoesNotAffectAnother(t *testing.T) {
	hot, other := limitedWorkspace("hot", 50, 50), limitedWorkspace("calm", 10, 10)
	runWarmSystem(t, 3, 7, []workspace.Workspace{hot, other}, func(s *testSystem) {
		hotLoad := s.startLoad("hot", 400, 10*time.Second)
		s.startLoad("calm", 6, 10*time.Second).Wait()
		hotLoad.Wait()
		s.checkLimit(hot)
		is.New(t).Equal(s.refused["calm"], 0)
	})
}

// Guards against a failure domain that is cut off and spends the whole limit a second time.
func TestCutOffFailureDomainStaysWithinLimit(t *testing.T) {
	w := limitedWorkspace("w", 60, 60)
	runWarmSystem(t, 3, 5, []workspace.Workspace{w}, func(s *testSystem) {
		load := s.startLoad("w", 400, 20*time.Second)
		time.Sleep(5 * time.Second)
		for n, i := range s.instances {
			if i.FailureDomain == "z1" {
				s.net.SetDisconnected(i.PeerAddress, true)
				_ = n
			}
		}
		time.Sleep(7 * time.Second)
		for _, i := range s.instances {
			s.net.SetDisconnected(i.PeerAddress, false)
		}
		load.Wait()
		s.checkLimit(w)
	})
}

// Guards against a burst when limiters fail or restart, and against refusing all callers during
// that time.
func TestLimitersFailAndRestart(t *testing.T) {
	w := limitedWorkspace("w", 60, 60)
	runWarmSystem(t, 3, 5, []workspace.Workspace{w}, func(s *testSystem) {
		load := s.startLoad("w", 300, 24*time.Second, 6, 7, 8, 9, 10, 11, 12, 13, 14)
		for round := range 6 {
			time.Sleep(2 * time.Second)
			for n := range 6 {
				if (n+round)%2 == 0 {
					s.kill(n)
				}
			}
			time.Sleep(2 * time.Second)
			for n := range 6 {
				if (n+round)%2 == 0 {
					s.restart(n)
				}
			}
		}
		load.Wait()
		s.checkLimit(w)
		is.New(t).True(len(s.begun["w"]) >= 24*60*6/10)
	})
}

// Guards against a second burst after a restart of all instances.
func TestFullRestartStaysWithinLimit(t *testing.T) {
	w := limitedWorkspace("w", 60, 60)
	runWarmSystem(t, 3, 5, []workspace.Workspace{w}, func(s *testSystem) {
		load := s.startLoad("w", 300, 6*time.Second)
		load.Wait()
		for n := range s.nodes {
			s.kill(n)
		}
		time.Sleep(300 * time.Millisecond)
		for n := range s.nodes {
			s.restart(n)
		}
		s.startLoad("w", 300, 6*time.Second).Wait()
		s.checkLimit(w)
	})
}

// All instances restart. Their processes know each other after a third of a second, and the
// callers of many workspaces return at once. Guards against a first second in which most
// operations are refused.
func TestFullRestartServesWithinASecond(t *testing.T) {
	all := manyWorkspaces()
	runWarmSystem(t, 3, 22, all, func(s *testSystem) {
		for n := range s.nodes {
			s.kill(n)
		}
		for n := range s.nodes {
			s.net.SetDisconnected(s.instances[n].PeerAddress, false)
			s.start(n, nil)
		}
		time.Sleep(300 * time.Millisecond)
		for _, n := range s.nodes {
			n.fleet.set(s.instances)
			n.guard.UpdateInstances()
		}
		time.Sleep(50 * time.Millisecond)
		var loads []*sync.WaitGroup
		for _, w := range all {
			loads = append(loads, s.startLoad(w.Name, w.Limit.Rate/1.6, time.Second))
		}
		asked, refused := 0, 0
		for i, w := range all {
			loads[i].Wait()
			asked += s.asked[w.Name]
			refused += s.refused[w.Name]
		}
		t.Logf("%d of %d refused", refused, asked)
		is.New(t).True(refused <= asked/5)
	})
}

// Guards against exceeding the limit when views differ: some instances know others that the
// rest does not know, and choose other limiters.
func TestDifferingViewsStayWithinLimit(t *testing.T) {
	w := limitedWorkspace("w", 60, 60)
	runWarmSystem(t, 3, 8, []workspace.Workspace{w}, func(s *testSystem) {
		load := s.startLoad("w", 300, 20*time.Second)
		for round := range 8 {
			time.Sleep(2 * time.Second)
			for n, node := range s.nodes {
				// Each instance's view lacks some others for a while.
				var view []platform.Instance
				for m, i := range s.instances {
					if (n+m+round)%4 != 0 || n == m {
						view = append(view, i)
					}
				}
				node.fleet.set(view)
				node.guard.UpdateInstances()
			}
		}
		load.Wait()
		s.checkLimit(w)
	})
}

// Guards against a raised limit that causes a burst, and a lowered one that is not enforced.
func TestLimitsChange(t *testing.T) {
	low, high := limitedWorkspace("w", 10, 10), limitedWorkspace("w", 100, 100)
	runWarmSystem(t, 3, 5, []workspace.Workspace{low}, func(s *testSystem) {
		s.startLoad("w", 300, 6*time.Second).Wait()
		s.checkLimit(low)
		s.workspaces.set(high)
		s.startLoad("w", 300, 6*time.Second).Wait()
		s.checkLimit(high)
		s.workspaces.set(low)
		time.Sleep(testTolerance.Window)
		s.resetCounts()
		s.startLoad("w", 300, 6*time.Second).Wait()
		s.checkLimit(low)
	})
}
