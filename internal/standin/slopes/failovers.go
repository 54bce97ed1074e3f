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
	// platformDelay is how long the platform takes for a call.
	platformDelay = 5 * time.Millisecond
	// failoverTimeout bounds the wait for all groups to have a new primary.
	failoverTimeout = 30 * time.Second
	membersOfGroup  = 3
)

// measureFailovers stops the primaries of more and more groups at one moment.
// Their members run in this process too, so that processor time holds both
// sides; one instance claims for all.
func measureFailovers(ctx context.Context, o Options) ([]Slope, error) {
	var slowest, processor, calls []Point
	for _, n := range []int{1, 5, 10, 20} {
		b, err := startBurst(ctx, o, n)
		if err != nil {
			return nil, err
		}
		used := processorTime()
		calledBefore := callsOf(b.api)
		longest, err := b.stopPrimaries(ctx)
		spent := processorTime() - used
		count := callsOf(b.api) - calledBefore
		b.stop()
		if err != nil {
			return nil, err
		}
		x := float64(n)
		slowest = append(slowest, Point{x, millis(longest)})
		processor = append(processor, Point{x, millis(spent)})
		calls = append(calls, Point{x, float64(count)})
	}
	return []Slope{
		fit("primaries lost at once", "ms to the last new primary", slowest),
		fit("primaries lost at once", "ms of processor time, both sides", processor),
		fit("primaries lost at once", "calls to the platform", calls),
	}, nil
}

// burst is n groups that one instance is home to.
type burst struct {
	api    *standin.Store
	groups [][]*member.Node
	gaps   chan failover.Gap
	stop   func()
}

func startBurst(ctx context.Context, o Options, n int) (*burst, error) {
	ctx, cancel := context.WithCancel(ctx)
	b := &burst{api: standin.NewStore(), gaps: make(chan failover.Gap, n)}
	b.api.SetFaults(standin.Faults{Delay: platformDelay})
	var parts sync.WaitGroup
	b.stop = func() {
		cancel()
		parts.Wait()
		for _, nodes := range b.groups {
			for _, node := range nodes {
				node.Stop()
			}
		}
	}
	var watchers []*group.Watcher
	for i := range n {
		w, err := b.addGroup(ctx, o, i, &parts)
		if err != nil {
			b.stop()
			return nil, err
		}
		watchers = append(watchers, w)
	}
	_ = clock.Sleep(ctx, clock.System{}, 2*time.Second)
	for _, w := range watchers {
		if s := w.Snapshot(); s.Primary == "" || s.ConfirmedAt.IsZero() {
			b.stop()
			return nil, fmt.Errorf("group %s did not settle", s.Group)
		}
	}
	return b, nil
}

// addGroup starts three members, and a watcher and a claimer for them.
func (b *burst) addGroup(ctx context.Context, o Options, i int, parts *sync.WaitGroup) (*group.Watcher, error) {
	addresses, err := freeAddresses(membersOfGroup)
	if err != nil {
		return nil, err
	}
	network := func(string) netio.Network { return netio.TCP{} }
	nodes, err := member.StartGroup(member.Options{ReplicationLag: time.Millisecond}, network, addresses...)
	if err != nil {
		return nil, err
	}
	b.groups = append(b.groups, nodes)
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
		View: w, Platform: b.api, Dialer: dialer, Clock: clock.System{},
		Rand:       rand.New(rand.NewPCG(o.Seed, uint64(2*i+1))),
		OnFailover: func(g failover.Gap) { b.gaps <- g },
	})
	parts.Go(func() { w.Run(ctx) })
	parts.Go(func() { c.Run(ctx) })
	return w, nil
}

// stopPrimaries stops every primary and returns the time to the last new one.
func (b *burst) stopPrimaries(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	begin := time.Now()
	for _, nodes := range b.groups {
		go nodes[0].Kill()
	}
	for range b.groups {
		select {
		case <-b.gaps:
		case <-ctx.Done():
			return 0, fmt.Errorf("not every group has a new primary: %w", ctx.Err())
		}
	}
	return time.Since(begin), nil
}

// freeAddresses returns loopback addresses that nothing listened at a moment ago.
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
