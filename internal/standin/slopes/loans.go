package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/shares"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

const (
	groupConnections = 55
	groupSlots       = 5
	callersShort     = 4
)

// measureLoans lets two instances hold the shares of more and more groups,
// first at rest, and then with all groups short of connections on one of them.
func measureLoans(ctx context.Context, o Options) ([]Slope, error) {
	var rest, slowest, calls, bytes []Point
	for _, n := range []int{4, 8, 16, 32} {
		l, err := startLenders(ctx, o, n)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		rest = append(rest, Point{x, idleShare(ctx, o.Window)})
		called, sent, begin := callsOf(l.api), l.network.bytes.Load(), time.Now()
		err = l.lendAll(ctx)
		slowest = append(slowest, Point{x, millis(time.Since(begin))})
		calls = append(calls, Point{x, float64(callsOf(l.api) - called)})
		bytes = append(bytes, Point{x, float64(l.network.bytes.Load() - sent)})
		l.stop()
		if err != nil {
			return nil, err
		}
	}
	return []Slope{
		fit("groups with shares", "share of a core at rest, two instances", rest),
		fit("loans at once", "ms to the last loan", slowest),
		fit("loans at once", "calls to the platform", calls),
		fit("loans at once", "bytes between the two", bytes),
	}, nil
}

// lenders are two instances with a seat in each of n groups.
type lenders struct {
	api       *standin.Store
	network   *countingNetwork
	lending   []*shares.Manager
	borrowing []*shares.Manager
	short     []*demand
	stop      func()
}

func startLenders(ctx context.Context, o Options, n int) (*lenders, error) {
	ctx, cancel := context.WithCancel(ctx)
	l := &lenders{api: standin.NewStore(), network: &countingNetwork{}}
	l.api.SetFaults(standin.Faults{Delay: platformDelay})
	var parts sync.WaitGroup
	var ends []func()
	l.stop = func() {
		cancel()
		parts.Wait()
		for _, end := range ends {
			end()
		}
	}
	for i, domain := range []string{"fd-0", "fd-1"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			l.stop()
			return nil, err
		}
		directory, server := shares.NewDirectory(domain), peer.NewServer(hclog.NewNullLogger())
		directory.Register(server)
		client := peer.NewClient(domain, l.network)
		go func() { _ = server.Serve(listener) }()
		ends = append(ends, client.Close, server.Close, func() { listener.Close() })
		self := shares.Holder{Instance: domain, Incarnation: domain, Address: listener.Addr().String(), FailureDomain: domain}
		for g := range n {
			m, d := l.newManager(o, self, client, g, i)
			directory.Add(m)
			parts.Go(func() { m.Run(ctx) })
			if i == 0 {
				l.lending = append(l.lending, m)
			} else {
				l.borrowing, l.short = append(l.borrowing, m), append(l.short, d)
			}
		}
	}
	if err := waitUntil(ctx, l.seated); err != nil {
		l.stop()
		return nil, fmt.Errorf("seats were not taken: %w", err)
	}
	return l, nil
}

func (l *lenders) newManager(o Options, self shares.Holder, c peer.Caller, g, i int) (*shares.Manager, *demand) {
	d := &demand{}
	m := shares.New(shares.Config{
		Group: fmt.Sprintf("measured-%d", g), Self: self, Clock: clock.System{},
		Rand:     rand.New(rand.NewPCG(o.Seed, uint64(2*g+i))),
		Platform: l.api, Peers: c, Connections: d, Slots: &demand{}, Control: membersOfGroup,
	}, shares.Allocation{
		Document:       1,
		Total:          shares.Amount{Connections: groupConnections, Slots: groupSlots},
		FailureDomains: []string{"fd-0", "fd-1"},
	})
	return m, d
}

func (l *lenders) seated() bool {
	for i := range l.lending {
		if !l.lending[i].Seated() || !l.borrowing[i].Seated() {
			return false
		}
	}
	return true
}

// lendAll makes every group short on one instance until it has borrowed.
func (l *lenders) lendAll(ctx context.Context) error {
	var before []int
	for i, m := range l.borrowing {
		before = append(before, m.Limit().Connections)
		l.short[i].waiting.Store(callersShort)
	}
	return waitUntil(ctx, func() bool {
		all := true
		for i, m := range l.borrowing {
			if m.Limit().Connections > before[i] {
				l.short[i].waiting.Store(0)
				continue
			}
			all = false
		}
		return all
	})
}

// demand is a resource of which nothing is in use and something may be waited for.
type demand struct{ waiting atomic.Int64 }

// Set implements shares.Resource.
func (d *demand) Set(int) {}

// Settle implements shares.Resource.
func (d *demand) Settle(context.Context) error { return nil }

// Use implements shares.Resource.
func (d *demand) Use() (inUse, waiting int) { return 0, int(d.waiting.Load()) }
