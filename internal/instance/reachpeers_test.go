package instance

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

// Guards against polls that grow with the number of groups: an instance that is home to ten of a
// thousand groups has evidence of its own.
func TestOnlyInstancesWithoutEvidenceAskOthersWhatTheyReach(t *testing.T) {
	is := is.New(t)
	is.True(!needsPeerReach(10, 1000))
	is.True(!needsPeerReach(3, 1000))
	is.True(needsPeerReach(2, 1000))
	is.True(needsPeerReach(0, 3))
	is.True(needsPeerReach(1, 3))
	is.True(!needsPeerReach(2, 3))
}

// Guards against an instance that considers itself cut off because the only failure domain it asks
// is, and against connections to other homes at each poll.
func TestPolledHomesAreOfDifferentDomainsAndStayTheSame(t *testing.T) {
	is := is.New(t)
	groups := groupsIn(1000, "d0", "d1", "d2")
	first := pollCandidates("i1", groups)
	is.Equal(len(first), maxPollCandidates)
	slices.Reverse(groups)
	is.Equal(pollCandidates("i1", groups), first)
	is.True(!slices.Equal(pollCandidates("i2", groups), first))
	a, b := platform.Instance{ID: "a", FailureDomain: "d0"}, platform.Instance{ID: "b", FailureDomain: "d1"}
	is.Equal(otherDomainHome([]platform.Instance{a, b}, nil), a)
	is.Equal(otherDomainHome([]platform.Instance{a, b}, []platform.Instance{a}), b)
	is.Equal(otherDomainHome([]platform.Instance{a}, []platform.Instance{a}), platform.Instance{})
}

// A failure domain with two instances is cut off. One is home to the group; the other is
// not, and probes no member itself. If the second one stayed ready, the balancer would keep
// sending the failure domain's callers to both. It must learn from the home that only a
// minority is reached, and become not ready as well. When the cut heals, both become ready.
func TestNonHomeInstanceDetectsCutOff(t *testing.T) {
	withClusterOf(t, 6, func(tc *testCluster) {
		var inside []int
		for i := range tc.instances {
			if i%len(testDomains) == 0 {
				inside = append(inside, i)
			}
		}
		homes := 0
		for _, i := range inside {
			if tc.instances[i].home(testGroup) != nil {
				homes++
			}
		}
		tc.is.Equal(homes, 1)
		tc.eachAcross(inside, tc.net.Cut)
		time.Sleep(2 * time.Second)
		for _, i := range inside {
			tc.is.True(tc.instances[i].cutOff.Load())
		}
		tc.eachAcross(inside, tc.net.Heal)
		time.Sleep(3 * time.Second)
		for _, i := range inside {
			tc.is.True(!tc.instances[i].cutOff.Load())
		}
	})
}

// eachAcross calls f for each pair of a host in the first failure domain, with the given
// instances, and a host outside it.
func (tc *testCluster) eachAcross(instances []int, f func(in, out string)) {
	inside := []string{memberHost(0)}
	outside := []string{memberHost(1), memberHost(2)}
	for i := range tc.instances {
		if slices.Contains(instances, i) {
			inside = append(inside, instanceHost(i))
		} else {
			outside = append(outside, instanceHost(i))
		}
	}
	for _, in := range inside {
		for _, out := range outside {
			f(in, out)
		}
	}
}
