package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/membership"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// failureDomains is the number of failure domains that topazrock is designed for.
	failureDomains = 7
	// rankedGroups is the number of groups whose homes are computed at each point.
	rankedGroups = 200
)

// measureInstances loads instance lists of several lengths and computes the homes of
// groups from each.
func measureInstances(ctx context.Context, o Options) ([]Slope, error) {
	var size, decoding, refreshing, ranking, memoryUse []Point
	for _, n := range []int{500, 1000, 2000, 4000, 7400} {
		list := newInventory(n)
		text, err := json.Marshal(list)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		size = append(size, Point{x, float64(len(text))})
		decode, err := decodeTime(text)
		if err != nil {
			return nil, err
		}
		decoding = append(decoding, Point{x, decode})
		memoryBefore := memoryInUse()
		members := membership.New(membership.Options{
			API:              fixedInventory{inventory: list},
			Clock:            clock.System{},
			Rand:             rand.New(rand.NewPCG(o.Seed, 0)),
			Self:             list.Instances[0],
			PerFailureDomain: 1,
		})
		cpuBefore := cpuTime()
		if err := members.Refresh(ctx); err != nil {
			return nil, err
		}
		refreshing = append(refreshing, Point{x, milliseconds(cpuTime() - cpuBefore)})
		memoryUse = append(memoryUse, Point{x, memoryInUse() - memoryBefore})
		cpuBefore = cpuTime()
		for i := range rankedGroups {
			members.IsHome(fmt.Sprintf("group-%d", i))
		}
		ranking = append(ranking, Point{x, milliseconds(cpuTime()-cpuBefore) / rankedGroups})
	}
	return []Slope{
		fitLine("instances", "bytes of the instance list", size),
		fitLine("instances", "ms to decode a list", decoding),
		fitLine("instances", "ms to take in a decoded list", refreshing),
		fitLine("instances", "bytes of memory", memoryUse),
		fitLine("instances", "ms to find one group's homes", ranking),
	}, nil
}

// decodeRounds is the number of times that a list is decoded for one point.
const decodeRounds = 5

// decodeTime returns the mean processor time to decode a list, in ms.
func decodeTime(text []byte) (float64, error) {
	cpuBefore := cpuTime()
	for range decodeRounds {
		var list platform.Inventory
		if err := json.Unmarshal(text, &list); err != nil {
			return 0, err
		}
	}
	return milliseconds(cpuTime()-cpuBefore) / decodeRounds, nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// newInventory returns a list of n instances whose IDs and addresses have typical
// lengths.
func newInventory(n int) platform.Inventory {
	var list platform.Inventory
	for i := range n {
		ip := fmt.Sprintf("10.%d.%d.%d", i%failureDomains, i/250, i%250)
		list.Instances = append(list.Instances, platform.Instance{
			ID:            fmt.Sprintf("entry-%c-%04d", 'a'+i%failureDomains, i),
			FailureDomain: fmt.Sprintf("region-%d-%c", i%3, 'a'+i%failureDomains),
			PeerAddress:   ip + ":6433",
			AdminAddress:  ip + ":6434",
		})
	}
	return list
}

// fixedInventory is a platform.API that only implements Inventory.
type fixedInventory struct {
	platform.API
	inventory platform.Inventory
}

// Inventory implements platform.API.
func (f fixedInventory) Inventory(context.Context) (platform.Inventory, error) {
	return f.inventory, nil
}
