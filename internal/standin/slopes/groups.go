package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/member/pgcontrol"
)

// measureGroups watches an increasing number of unused groups. All groups have the same
// three members, which costs the watcher as much as three separate members per group.
func measureGroups(ctx context.Context, o Options) ([]Slope, error) {
	return measureIdleGroups(ctx, o, "idle groups at home", group.DefaultIntervals())
}

// rarePollInterval is a possible poll interval for the members of an unused group. The
// loss of a primary would still be detected within a fraction of 16 s.
const rarePollInterval = 1600 * time.Millisecond

// measureRarelyPolledGroups is measureGroups with members that are polled at
// rarePollInterval. It shows how low the cost of an idle group could be.
func measureRarelyPolledGroups(ctx context.Context, o Options) ([]Slope, error) {
	intervals := group.DefaultIntervals()
	intervals.PrimaryPoll, intervals.ReplicaPoll = rarePollInterval, rarePollInterval
	return measureIdleGroups(ctx, o, "idle groups at home, asked seldom", intervals)
}

// measureIdleGroups watches an increasing number of groups with the given intervals.
func measureIdleGroups(ctx context.Context, o Options, driver string, intervals group.Intervals) ([]Slope, error) {
	var cpu, rate, writes, memoryUse []Point
	for _, n := range []int{2, 4, 8, 16} {
		u, err := followGroups(ctx, o, n, intervals)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		cpu = append(cpu, Point{x, u.cpuShare})
		rate = append(rate, Point{x, u.bytesPerSecond})
		writes = append(writes, Point{x, u.writesPerSecond})
		memoryUse = append(memoryUse, Point{x, u.memoryBytes})
	}
	return []Slope{
		fitLine(driver, "share of a core", cpu),
		fitLine(driver, "bytes a second", rate),
		fitLine(driver, "questions a second", writes),
		fitLine(driver, "bytes of memory", memoryUse),
	}, nil
}

// resourceUsage is the cost of one load: share of a core, rates and memory.
type resourceUsage struct {
	cpuShare, bytesPerSecond, writesPerSecond, memoryBytes float64
}

// followGroups watches n groups and measures for the duration of the window, after each
// watcher has found a primary.
func followGroups(ctx context.Context, o Options, n int, intervals group.Intervals) (resourceUsage, error) {
	ctx, cancel := context.WithCancel(ctx)
	network := &countingNetwork{}
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	memoryBefore := memoryInUse()
	watchers := make([]*group.Watcher, n)
	for i := range watchers {
		watchers[i] = newWatcher(o, network, i, intervals)
		wait.Go(func() { watchers[i].Run(ctx) })
	}
	_ = clock.Sleep(ctx, clock.System{}, time.Second)
	for _, w := range watchers {
		if w.Snapshot().Primary == "" {
			return resourceUsage{}, fmt.Errorf("no primary found among members %v", o.Members)
		}
	}
	memoryUsed := memoryInUse() - memoryBefore
	begin, cpuBefore := time.Now(), cpuTime()
	bytes, writes := network.bytes.Load(), network.writes.Load()
	_ = clock.Sleep(ctx, clock.System{}, o.Window)
	seconds := time.Since(begin).Seconds()
	return resourceUsage{
		cpuShare:        (cpuTime() - cpuBefore).Seconds() / seconds,
		bytesPerSecond:  float64(network.bytes.Load()-bytes) / seconds,
		writesPerSecond: float64(network.writes.Load()-writes) / seconds,
		memoryBytes:     memoryUsed,
	}, nil
}

func newWatcher(o Options, network *countingNetwork, i int, intervals group.Intervals) *group.Watcher {
	var members []document.Member
	for k, address := range o.Members {
		members = append(members, document.Member{Address: address, FailureDomain: fmt.Sprintf("fd-%d", k)})
	}
	return group.NewWatcher(group.Config{
		Group:   fmt.Sprintf("measured-%d", i),
		Members: members,
		Clock:   clock.System{},
		Rand:    rand.New(rand.NewPCG(o.Seed, uint64(i))),
		Dialer:  pgcontrol.NewDialer(network, pgcontrol.Options{User: callerUser, Password: callerPassword}),

		Intervals: intervals,
	})
}
