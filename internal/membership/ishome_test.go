package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

// Guards against an instance that takes itself for a home where the list of homes lacks it, or the other
// way round.
func TestIsHomeAgreesWithTheHomes(t *testing.T) {
	is := is.New(t)
	all := newInstances(30)
	for _, p := range []Placement{{PerDomain: 1}, {PerDomain: 2}, {PerDomain: 1 << 20}, {PerDomain: 1, Domains: []string{all[0].FailureDomain}}, {PerDomain: 1, Capable: true}} {
		byGroup := make(map[string]Placement)
		for g := range 200 {
			byGroup[fmt.Sprint("g", g)] = p
		}
		homes := 0
		for _, self := range all {
			s := newSnapshot(self, newList(all, nil, time.Time{}), placements{byGroup: byGroup})
			for group := range byGroup {
				is.Equal(s.isHome(group), s.homesOf(group).contains(self.ID))
				if s.isHome(group) {
					homes++
				}
			}
		}
		is.True(homes > 0)
	}
	leaving := all[2]
	leaving.Leaving = true
	s := newSnapshot(leaving, newList(all, nil, time.Time{}), placements{defaultCount: 1 << 20})
	is.True(!s.isHome("g"))
}

// BenchmarkIsHome asks for each of a thousand groups whether an instance of a large fleet is its home.
func BenchmarkIsHome(b *testing.B) {
	var groups []string
	for g := range 1000 {
		groups = append(groups, fmt.Sprint("g", g))
	}
	for _, n := range []int{100, 1000, 7400} {
		b.Run(fmt.Sprintf("%d instances", n), func(b *testing.B) {
			var all []platform.Instance
			for k := range n {
				all = append(all, platform.Instance{ID: fmt.Sprint("i", k), FailureDomain: fmt.Sprint(k % 5)})
			}
			s := newSnapshot(all[7], newList(all, nil, time.Time{}), placements{defaultCount: 1})
			b.ResetTimer()
			for range b.N {
				for _, g := range groups {
					s.isHome(g)
				}
			}
		})
	}
}
