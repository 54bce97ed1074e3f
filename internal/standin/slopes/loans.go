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
	connectionsPerGroup = 55
	slotsPerGroup       = 5
	waitingCallers      = 4
)

// measureLoans measures two instances that hold the shares of an increasing number of
// groups: first idle, and then while one of them lacks connections in all groups.
func measureLoans(ctx context.Context, o Options) ([]Slope, error) {
	var idle, slowest, calls, bytes []Point
	for _, n := range []int{4, 8, 16, 32} {
		p, err := startSharePair(ctx, o, n)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		idle = append(idle, Point{x, idleCPUShare(ctx, o.Window)})
		callsBefore, bytesBefore, begin := totalCalls(p.platform), p.network.bytes.Load(), time.Now()
		err = p.borrowInAllGroups(ctx)
		slowest = append(slowest, Point{x, milliseconds(time.Since(begin))})
		calls = append(calls, Point{x, float64(totalCalls(p.platform) - callsBefore)})
		bytes = append(bytes, Point{x, float64(p.network.bytes.Load() - bytesBefore)})
		p.stop()
		if err != nil {
			return nil, err
		}
	}
	return []Slope{
		fitLine("groups with shares", "share of a core at rest, two instances", idle),
		fitLine("loans at once", "ms to the last loan", slowest),
		fitLine("loans at once", "calls to the platform", calls),
		fitLine("loans at once", "bytes between the two", bytes),
	}, nil
}

// sharePair is two instances that each hold a share of every group. The first lends
// connections to the second.
type sharePair struct {
	platform          *standin.Store
	network           *countingNetwork
	lenders           []*shares.Manager
	borrowers         []*shares.Manager
	borrowerResources []*fakeResource
	stop              func()
}

func startSharePair(ctx context.Context, o Options, n int) (*sharePair, error) {
	ctx, cancel := context.WithCancel(ctx)
	p := &sharePair{platform: standin.NewStore(), network: &countingNetwork{}}
	p.platform.SetFaults(standin.Faults{Delay: platformDelay})
	var running sync.WaitGroup
	var closers []func()
	p.stop = func() {
		cancel()
		running.Wait()
		for _, closeItem := range closers {
			closeItem()
		}
	}
	for i, domain := range []string{"fd-0", "fd-1"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			p.stop()
			return nil, err
		}
		directory, server := shares.NewDirectory(domain), peer.NewServer(hclog.NewNullLogger())
		directory.Register(server)
		client := peer.NewClient(domain, p.network)
		go func() { _ = server.Serve(listener) }()
		closers = append(closers, client.Close, server.Close, func() { listener.Close() })
		self := shares.Holder{Instance: domain, Incarnation: domain, Address: listener.Addr().String(), FailureDomain: domain}
		for g := range n {
			m, d := p.newManager(o, self, client, g, i)
			directory.Add(m)
			running.Go(func() { m.Run(ctx) })
			if i == 0 {
				p.lenders = append(p.lenders, m)
			} else {
				p.borrowers, p.borrowerResources = append(p.borrowers, m), append(p.borrowerResources, d)
			}
		}
	}
	if err := waitUntil(ctx, p.allHoldShares); err != nil {
		p.stop()
		return nil, fmt.Errorf("waiting for both instances to hold a share of every group: %w", err)
	}
	return p, nil
}

func (p *sharePair) newManager(o Options, self shares.Holder, c peer.Caller, g, i int) (*shares.Manager, *fakeResource) {
	d := &fakeResource{}
	m := shares.New(shares.Config{
		Group: fmt.Sprintf("measured-%d", g), Self: self, Clock: clock.System{},
		Rand:     rand.New(rand.NewPCG(o.Seed, uint64(2*g+i))),
		Platform: p.platform, Peers: c, Connections: d, Slots: &fakeResource{}, ControlConnections: membersPerGroup,
	}, shares.Allocation{
		DocumentVersion: 1,
		Total:           shares.Amount{Connections: connectionsPerGroup, Slots: slotsPerGroup},
		FailureDomains:  []string{"fd-0", "fd-1"},
	})
	return m, d
}

func (p *sharePair) allHoldShares() bool {
	for i := range p.lenders {
		if !p.lenders[i].HoldsShare() || !p.borrowers[i].HoldsShare() {
			return false
		}
	}
	return true
}

// borrowInAllGroups makes callers wait in every group on the borrowing instance until
// it has borrowed connections.
func (p *sharePair) borrowInAllGroups(ctx context.Context) error {
	var before []int
	for i, m := range p.borrowers {
		before = append(before, m.Limit().Connections)
		p.borrowerResources[i].waiting.Store(waitingCallers)
	}
	return waitUntil(ctx, func() bool {
		all := true
		for i, m := range p.borrowers {
			if m.Limit().Connections > before[i] {
				p.borrowerResources[i].waiting.Store(0)
				continue
			}
			all = false
		}
		return all
	})
}

// fakeResource is a shares.Resource with none in use and a configurable number of
// waiters.
type fakeResource struct{ waiting atomic.Int64 }

// Set implements shares.Resource.
func (d *fakeResource) Set(int) {}

// WaitWithinLimit implements shares.Resource.
func (d *fakeResource) WaitWithinLimit(context.Context) error { return nil }

// Usage implements shares.Resource.
func (d *fakeResource) Usage() (inUse, waiting int) { return 0, int(d.waiting.Load()) }
