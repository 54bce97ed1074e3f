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

// measureGroups follows more and more groups that nobody uses. All of them have
// the same three members, which costs the follower what three of their own would.
func measureGroups(ctx context.Context, o Options) ([]Slope, error) {
	return followMore(ctx, o, "idle groups at home", group.DefaultIntervals())
}

// seldom is how often members could be asked while nobody uses the group. A
// primary that is lost would still be found within a fraction of 16 s.
const seldom = 1600 * time.Millisecond

// measureSeldomGroups does the same with members that are asked seldom, which
// is what an idle group could cost.
func measureSeldomGroups(ctx context.Context, o Options) ([]Slope, error) {
	intervals := group.DefaultIntervals()
	intervals.PrimaryPoll, intervals.ReplicaPoll = seldom, seldom
	return followMore(ctx, o, "idle groups at home, asked seldom", intervals)
}

// followMore measures more and more groups with given intervals.
func followMore(ctx context.Context, o Options, driver string, intervals group.Intervals) ([]Slope, error) {
	var processor, rate, questions, bytes []Point
	for _, n := range []int{2, 4, 8, 16} {
		u, err := followGroups(ctx, o, n, intervals)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		processor = append(processor, Point{x, u.processor})
		rate = append(rate, Point{x, u.bytesPerSecond})
		questions = append(questions, Point{x, u.writesPerSecond})
		bytes = append(bytes, Point{x, u.memory})
	}
	return []Slope{
		fit(driver, "share of a core", processor),
		fit(driver, "bytes a second", rate),
		fit(driver, "questions a second", questions),
		fit(driver, "bytes of memory", bytes),
	}, nil
}

// usage is what one load cost.
type usage struct {
	processor, bytesPerSecond, writesPerSecond, memory float64
}

// followGroups follows n groups for the window, after they have settled.
func followGroups(ctx context.Context, o Options, n int, intervals group.Intervals) (usage, error) {
	ctx, cancel := context.WithCancel(ctx)
	network := &countingNetwork{}
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	before := memory()
	watchers := make([]*group.Watcher, n)
	for i := range watchers {
		watchers[i] = newWatcher(o, network, i, intervals)
		wait.Go(func() { watchers[i].Run(ctx) })
	}
	_ = clock.Sleep(ctx, clock.System{}, time.Second)
	for _, w := range watchers {
		if w.Snapshot().Primary == "" {
			return usage{}, fmt.Errorf("a group found no primary among %v", o.Members)
		}
	}
	held := memory() - before
	begin, used := time.Now(), processorTime()
	bytes, writes := network.bytes.Load(), network.writes.Load()
	_ = clock.Sleep(ctx, clock.System{}, o.Window)
	seconds := time.Since(begin).Seconds()
	return usage{
		processor:       (processorTime() - used).Seconds() / seconds,
		bytesPerSecond:  float64(network.bytes.Load()-bytes) / seconds,
		writesPerSecond: float64(network.writes.Load()-writes) / seconds,
		memory:          held,
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
