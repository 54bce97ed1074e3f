package instance

import (
	"slices"
	"testing"
	"time"
)

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
