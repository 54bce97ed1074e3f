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
	// failureDomains is the number of the target.
	failureDomains = 7
	// groupsRanked is how many groups' homes are worked out at each point.
	groupsRanked = 200
)

// measureInstances takes in instance lists of several lengths and works out
// the homes of groups from each.
func measureInstances(ctx context.Context, o Options) ([]Slope, error) {
	var size, decoding, taking, ranking, held []Point
	for _, n := range []int{500, 1000, 2000, 4000, 7400} {
		list := inventoryOf(n)
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
		before := memory()
		members := membership.New(membership.Options{
			API:              fixedList{list: list},
			Clock:            clock.System{},
			Rand:             rand.New(rand.NewPCG(o.Seed, 0)),
			Self:             list.Instances[0],
			PerFailureDomain: 1,
		})
		used := processorTime()
		if err := members.Refresh(ctx); err != nil {
			return nil, err
		}
		taking = append(taking, Point{x, millis(processorTime() - used)})
		held = append(held, Point{x, memory() - before})
		used = processorTime()
		for i := range groupsRanked {
			members.IsHome(fmt.Sprintf("group-%d", i))
		}
		ranking = append(ranking, Point{x, millis(processorTime()-used) / groupsRanked})
	}
	return []Slope{
		fit("instances", "bytes of the instance list", size),
		fit("instances", "ms to decode a list", decoding),
		fit("instances", "ms to take in a decoded list", taking),
		fit("instances", "bytes of memory", held),
		fit("instances", "ms to find one group's homes", ranking),
	}, nil
}

// decodeRounds is how often a list is decoded for one point.
const decodeRounds = 5

// decodeTime returns the mean processor time of decoding a list, in ms.
func decodeTime(text []byte) (float64, error) {
	used := processorTime()
	for range decodeRounds {
		var list platform.Inventory
		if err := json.Unmarshal(text, &list); err != nil {
			return 0, err
		}
	}
	return millis(processorTime()-used) / decodeRounds, nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// inventoryOf returns a list of n instances with names and addresses of the usual length.
func inventoryOf(n int) platform.Inventory {
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

// fixedList is a platform that only lists instances.
type fixedList struct {
	platform.API
	list platform.Inventory
}

// Inventory implements platform.API.
func (f fixedList) Inventory(context.Context) (platform.Inventory, error) { return f.list, nil }
