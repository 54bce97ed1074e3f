package membership

import (
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
)

// The number of homes becomes known after the instances. Groups that were asked for
// before must get as many homes as the rest, or their statements take a hop for ever.
func TestNumberOfHomesHoldsForGroupsAskedForBefore(t *testing.T) {
	is := is.New(t)
	all := fleet(9)
	m := newMembers(&listAPI{list: platform.Inventory{Instances: all}}, all[3], 1)
	m.Adopt(all)
	before := len(m.Homes("g"))
	is.True(before < len(all))
	changed := 0
	m.Subscribe(func() { changed++ })
	m.SetHomeCounts(map[string]int{"g": 1 << 20})
	is.Equal(len(m.Homes("g")), len(all))
	is.True(m.IsHome("g"))
	is.Equal(changed, 1)
	m.SetHomeCounts(map[string]int{"g": 1})
	is.Equal(len(m.Homes("g")), before)
}
