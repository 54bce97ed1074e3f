package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/membership"
)

// fleetSize is the number of instances that topazrock is designed for.
const fleetSize = 7400

// measureHomes measures the replacement of one instance in a full-size fleet, while the
// homes of an increasing number of groups are cached.
func measureHomes(ctx context.Context, o Options) ([]Slope, error) {
	var refreshing, memoryUse []Point
	for _, n := range []int{1000, 2000, 4000, 8000} {
		memoryBefore := memoryInUse()
		api := &fixedInventory{inventory: newInventory(fleetSize)}
		members := membership.New(membership.Options{
			API:              api,
			Clock:            clock.System{},
			Rand:             rand.New(rand.NewPCG(o.Seed, 0)),
			Self:             api.inventory.Instances[0],
			PerFailureDomain: 1,
		})
		if err := members.Refresh(ctx); err != nil {
			return nil, err
		}
		computeHomes(members, n)
		x := float64(n)
		memoryUse = append(memoryUse, Point{x, memoryInUse() - memoryBefore})
		api.inventory = newInventory(fleetSize)
		api.inventory.Instances[fleetSize/2].ID = "entry-new"
		cpuBefore := cpuTime()
		if err := members.Refresh(ctx); err != nil {
			return nil, err
		}
		computeHomes(members, n)
		refreshing = append(refreshing, Point{x, milliseconds(cpuTime() - cpuBefore)})
	}
	return []Slope{
		fitLine("groups known among 7,400 instances", "ms to follow one replaced instance", refreshing),
		fitLine("groups known among 7,400 instances", "bytes of memory", memoryUse),
	}, nil
}

func computeHomes(m *membership.Members, n int) {
	for i := range n {
		m.IsHome(fmt.Sprintf("group-%d", i))
	}
}
