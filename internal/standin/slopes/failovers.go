package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/failover"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/member/pgcontrol"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/standin/member"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

const (
	// platformDelay is the duration of a call to the platform.
	platformDelay = 5 * time.Millisecond
	// failoverTimeout limits the wait until all groups have a new primary.
	failoverTimeout = 30 * time.Second
	membersPerGroup = 3
)

// measureFailovers kills the primaries of an increasing number of groups at the same
// time. The members also run in this process, so processor time covers both sides. One
// instance claims the terms of all groups.
func measureFailovers(ctx context.Context, o Options) ([]Slope, error) {
	var slowest, cpu, calls []Point
	for _, n := range []int{1, 5, 10, 20} {
		g, err := startFailoverGroups(ctx, o, n)
		if err != nil {
			return nil, err
		}
		cpuBefore := cpuTime()
		callsBefore := totalCalls(g.platform)
		slowestFailover, err := g.killPrimaries(ctx)
		cpuUsed := cpuTime() - cpuBefore
		count := totalCalls(g.platform) - callsBefore
		g.stop()
		if err != nil {
			return nil, err
		}
		x := float64(n)
		slowest = append(slowest, Point{x, milliseconds(slowestFailover)})
		cpu = append(cpu, Point{x, milliseconds(cpuUsed)})
		calls = append(calls, Point{x, float64(count)})
	}
	return []Slope{
		fitLine("primaries lost at once", "ms to the last new primary", slowest),
		fitLine("primaries lost at once", "ms of processor time, both sides", cpu),
		fitLine("primaries lost at once", "calls to the platform", calls),
	}, nil
}

// failoverGroups is a number of groups that one instance watches and fails over.
type failoverGroups struct {
	platform  *standin.Store
	groups    [][]*member.Node
	failovers chan failover.Timings
	stop      func()
}

func startFailoverGroups(ctx context.Context, o Options, n int) (*failoverGroups, error) {
	ctx, cancel := context.WithCancel(ctx)
	g := &failoverGroups{platform: standin.NewStore(), failovers: make(chan failover.Timings, n)}
	g.platform.SetFaults(standin.Faults{Delay: platformDelay})
	var running sync.WaitGroup
	g.stop = func() {
		cancel()
		running.Wait()
		for _, nodes := range g.groups {
			for _, node := range nodes {
				node.Stop()
			}
		}
	}
	var watchers []*group.Watcher
	for i := range n {
		w, err := g.addGroup(ctx, o, i, &running)
		if err != nil {
			g.stop()
			return nil, err
		}
		watchers = append(watchers, w)
	}
	_ = clock.Sleep(ctx, clock.System{}, 2*time.Second)
	for _, w := range watchers {
		if s := w.Snapshot(); s.Primary == "" || s.QuorumAttachedAt.IsZero() {
			g.stop()
			return nil, fmt.Errorf("group %s has no confirmed primary 2 s after its start", s.Group)
		}
	}
	return g, nil
}

// addGroup starts the members of a group, with a watcher and a claimer.
func (g *failoverGroups) addGroup(ctx context.Context, o Options, i int, running *sync.WaitGroup) (*group.Watcher, error) {
	addresses, err := freeAddresses(membersPerGroup)
	if err != nil {
		return nil, err
	}
	network := func(string) netio.Network { return netio.TCP{} }
	nodes, err := member.StartGroup(member.Options{ReplicationLag: time.Millisecond}, network, addresses...)
	if err != nil {
		return nil, err
	}
	g.groups = append(g.groups, nodes)
	var members []document.Member
	for k, address := range addresses {
		members = append(members, document.Member{Address: address, FailureDomain: fmt.Sprintf("fd-%d", k)})
	}
	name := fmt.Sprintf("measured-%d", i)
	dialer := pgcontrol.NewDialer(netio.TCP{}, pgcontrol.Options{User: callerUser, Password: callerPassword})
	w := group.NewWatcher(group.Config{
		Group: name, Members: members, Clock: clock.System{}, Dialer: dialer,
		Rand: rand.New(rand.NewPCG(o.Seed, uint64(2*i))),
	})
	c := failover.New(failover.Config{
		Group: name, Self: platform.Instance{ID: "measured", FailureDomain: "fd-1"},
		View: w, Platform: g.platform, Dialer: dialer, Clock: clock.System{},
		Rand:       rand.New(rand.NewPCG(o.Seed, uint64(2*i+1))),
		OnFailover: func(f failover.Timings) { g.failovers <- f },
	})
	running.Go(func() { w.Run(ctx) })
	running.Go(func() { c.Run(ctx) })
	return w, nil
}

// killPrimaries kills every primary and returns the time until the last group has a new
// one.
func (g *failoverGroups) killPrimaries(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	begin := time.Now()
	for _, nodes := range g.groups {
		go nodes[0].Kill()
	}
	for range g.groups {
		select {
		case <-g.failovers:
		case <-ctx.Done():
			return 0, fmt.Errorf("waiting for a new primary in every group: %w", ctx.Err())
		}
	}
	return time.Since(begin), nil
}

// freeAddresses returns loopback addresses that were unused when it checked.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
