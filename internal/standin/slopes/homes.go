package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/membership"
)

// fleetSize is the number of instances of the target.
const fleetSize = 7400

// measureHomes replaces one instance of a whole fleet while the homes of more
// and more groups are known.
func measureHomes(ctx context.Context, o Options) ([]Slope, error) {
	var following, held []Point
	for _, n := range []int{1000, 2000, 4000, 8000} {
		before := memory()
		api := &fixedList{list: inventoryOf(fleetSize)}
		members := membership.New(membership.Options{
			API:              api,
			Clock:            clock.System{},
			Rand:             rand.New(rand.NewPCG(o.Seed, 0)),
			Self:             api.list.Instances[0],
			PerFailureDomain: 1,
		})
		if err := members.Refresh(ctx); err != nil {
			return nil, err
		}
		findHomes(members, n)
		x := float64(n)
		held = append(held, Point{x, memory() - before})
		api.list = inventoryOf(fleetSize)
		api.list.Instances[fleetSize/2].ID = "entry-new"
		used := processorTime()
		if err := members.Refresh(ctx); err != nil {
			return nil, err
		}
		findHomes(members, n)
		following = append(following, Point{x, millis(processorTime() - used)})
	}
	return []Slope{
		fit("groups known among 7,400 instances", "ms to follow one replaced instance", following),
		fit("groups known among 7,400 instances", "bytes of memory", held),
	}, nil
}

func findHomes(m *membership.Members, groups int) {
	for i := range groups {
		m.IsHome(fmt.Sprintf("group-%d", i))
	}
}
