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

// inSystem runs f with instances whose buckets are full.
func inSystem(t *testing.T, domains, perDomain int, all []workspace.Workspace, f func(s *system)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, domains, perDomain, all...)
		time.Sleep(settled)
		f(s)
		s.close()
	})
}

// manyWorkspaces are as unequal as those of a large deployment.
func manyWorkspaces() []workspace.Workspace {
	var all []workspace.Workspace
	for n := range 75 {
		rate := max(6, 174/float64(n+1))
		all = append(all, limited(fmt.Sprintf("w%02d", n), rate, rate))
	}
	return all
}

// The load pattern is a calm day: every workspace asks for what its limit leaves 1.6 times of,
// at all instances alike. Guards against limits that refuse what is below them.
func TestCalmWorkspacesAreNotRefused(t *testing.T) {
	all := manyWorkspaces()
	inSystem(t, 3, 22, all, func(s *system) {
		var loads []*sync.WaitGroup
		for _, w := range all {
			loads = append(loads, s.load(w.Name, w.Limit.Rate/1.6, 20*time.Second))
		}
		asked, refused := 0, 0
		for i, w := range all {
			loads[i].Wait()
			s.within(w)
			asked += s.asked[w.Name]
			refused += s.refused[w.Name]
		}
		t.Logf("%d of %d refused; most %d of %.0f", refused, asked, s.most("w00"), testTolerance.Allowed(all[0].Limit))
		if float64(refused) > 0.002*float64(asked) {
			t.Errorf("%d of %d operations below the limits were refused", refused, asked)
		}
	})
}

// The load pattern is a day on which callers sit unevenly: all of a workspace's come to one
// failure domain, or to one instance.
func TestUnevenCallersAreNotRefused(t *testing.T) {
	w := limited("w", 24, 24)
	inSystem(t, 3, 22, []workspace.Workspace{w}, func(s *system) {
		s.load("w", 15, 20*time.Second, 0, 3, 6, 9, 12).Wait()
		s.load("w", 15, 20*time.Second, 7).Wait()
		s.within(w)
		is.New(t).True(s.refused["w"] <= s.asked["w"]/500)
	})
}

// The load pattern is a workspace that turns hot by eight at all instances.
func TestHotWorkspaceGetsItsLimitAndNoMore(t *testing.T) {
	for _, rate := range []float64{6, 174} {
		w := limited("w", rate, rate)
		inSystem(t, 3, 22, []workspace.Workspace{w}, func(s *system) {
			s.load("w", rate*5, 20*time.Second).Wait()
			s.within(w)
			is.New(t).True(float64(len(s.begun["w"])) >= 0.95*20*rate)
		})
	}
}

// Guards against one workspace whose callers press, and whose refusals cost another one tokens.
func TestHotWorkspaceTakesNothingFromAnother(t *testing.T) {
	hot, calm := limited("hot", 50, 50), limited("calm", 10, 10)
	inSystem(t, 3, 7, []workspace.Workspace{hot, calm}, func(s *system) {
		loud := s.load("hot", 400, 10*time.Second)
		s.load("calm", 6, 10*time.Second).Wait()
		loud.Wait()
		s.within(hot)
		is.New(t).Equal(s.refused["calm"], 0)
	})
}

// Guards against a failure domain that is cut off and spends the whole limit once more.
func TestCutDomainHasItsOwnShares(t *testing.T) {
	w := limited("w", 60, 60)
	inSystem(t, 3, 5, []workspace.Workspace{w}, func(s *system) {
		load := s.load("w", 400, 20*time.Second)
		time.Sleep(5 * time.Second)
		for n, i := range s.instances {
			if i.FailureDomain == "z1" {
				s.net.SetCut(i.PeerAddress, true)
				_ = n
			}
		}
		time.Sleep(7 * time.Second)
		for _, i := range s.instances {
			s.net.SetCut(i.PeerAddress, false)
		}
		load.Wait()
		s.within(w)
	})
}

// Guards against limiters that die or come back with a burst, and against callers who are all
// refused for as long.
func TestLimitersDieAndComeBack(t *testing.T) {
	w := limited("w", 60, 60)
	inSystem(t, 3, 5, []workspace.Workspace{w}, func(s *system) {
		load := s.load("w", 300, 24*time.Second, 6, 7, 8, 9, 10, 11, 12, 13, 14)
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
		s.within(w)
		is.New(t).True(len(s.begun["w"]) >= 24*60*6/10)
	})
}

// Guards against a return of all instances that brings a second burst, and against one that
// refuses everything for long.
func TestReturnOfAllBringsNoSecondBurst(t *testing.T) {
	w := limited("w", 60, 60)
	inSystem(t, 3, 5, []workspace.Workspace{w}, func(s *system) {
		load := s.load("w", 300, 6*time.Second)
		load.Wait()
		for n := range s.nodes {
			s.kill(n)
		}
		time.Sleep(300 * time.Millisecond)
		for n := range s.nodes {
			s.restart(n)
		}
		s.load("w", 300, 6*time.Second).Wait()
		s.within(w)
	})
}

// The load pattern is a return of all: the processes know each other after a third of a second,
// and callers of many workspaces are back at once. Guards against a second in which limits refuse
// them all.
func TestReturnOfAllServesWithinASecond(t *testing.T) {
	all := manyWorkspaces()
	inSystem(t, 3, 22, all, func(s *system) {
		for n := range s.nodes {
			s.kill(n)
		}
		for n := range s.nodes {
			s.net.SetCut(s.instances[n].PeerAddress, false)
			s.start(n, nil)
		}
		time.Sleep(300 * time.Millisecond)
		for _, n := range s.nodes {
			n.fleet.set(s.instances)
			n.guard.Observe()
		}
		time.Sleep(50 * time.Millisecond)
		var loads []*sync.WaitGroup
		for _, w := range all {
			loads = append(loads, s.load(w.Name, w.Limit.Rate/1.6, time.Second))
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

// Guards against views that differ: some instances know of others that the rest does not, and
// choose other limiters.
func TestDifferentViewsMakeNoLimitersMore(t *testing.T) {
	w := limited("w", 60, 60)
	inSystem(t, 3, 8, []workspace.Workspace{w}, func(s *system) {
		load := s.load("w", 300, 20*time.Second)
		for round := range 8 {
			time.Sleep(2 * time.Second)
			for n, node := range s.nodes {
				// Every instance misses some others for a while.
				var view []platform.Instance
				for m, i := range s.instances {
					if (n+m+round)%4 != 0 || n == m {
						view = append(view, i)
					}
				}
				node.fleet.set(view)
				node.guard.Observe()
			}
		}
		load.Wait()
		s.within(w)
	})
}

// Guards against a raised limit that brings a burst at once, and a lowered one that is not kept.
func TestLimitsChange(t *testing.T) {
	low, high := limited("w", 10, 10), limited("w", 100, 100)
	inSystem(t, 3, 5, []workspace.Workspace{low}, func(s *system) {
		s.load("w", 300, 6*time.Second).Wait()
		s.within(low)
		s.limits.set(high)
		s.load("w", 300, 6*time.Second).Wait()
		s.within(high)
		s.limits.set(low)
		time.Sleep(testTolerance.Window)
		s.forget()
		s.load("w", 300, 6*time.Second).Wait()
		s.within(low)
	})
}
