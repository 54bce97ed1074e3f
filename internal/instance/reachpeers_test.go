package instance

import (
	"slices"
	"testing"
	"time"
)

// A failure domain is cut off. It has one instance that is home to the group, and one
// that is not and sees no member itself. Were the second to stay ready, the balancer
// would go on sending the domain's callers to both. It asks the home, hears that it
// reaches a minority, and is not ready either; when the cut heals, both are.
func TestInstanceThatIsNoHomeKnowsOfTheCut(t *testing.T) {
	inBedOf(t, 6, func(b *bed) {
		var inside []int
		for i := range b.instances {
			if i%len(bedDomains) == 0 {
				inside = append(inside, i)
			}
		}
		homes := 0
		for _, i := range inside {
			if b.instances[i].home(bedGroup) != nil {
				homes++
			}
		}
		b.is.Equal(homes, 1)
		b.eachAcross(inside, b.net.Cut)
		time.Sleep(2 * time.Second)
		for _, i := range inside {
			b.is.True(b.instances[i].cutOff.Load())
		}
		b.eachAcross(inside, b.net.Heal)
		time.Sleep(3 * time.Second)
		for _, i := range inside {
			b.is.True(!b.instances[i].cutOff.Load())
		}
	})
}

// eachAcross calls f for each pair of hosts of which one is in the first failure domain,
// with the instances given, and one is not.
func (b *bed) eachAcross(instances []int, f func(in, out string)) {
	inside := []string{memberHost(0)}
	outside := []string{memberHost(1), memberHost(2)}
	for i := range b.instances {
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
