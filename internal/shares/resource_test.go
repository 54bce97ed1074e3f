package shares

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/pool"
	"github.com/topazrock/topazrock/internal/upstream"
	"github.com/topazrock/topazrock/internal/wire"
)

// fakeMember counts the connections that one member holds.
type fakeMember struct {
	mu      sync.Mutex
	held    int
	highest int
}

func (m *fakeMember) open(ctx context.Context, address, _ string) (wire.Conn, error) {
	if err := clock.Sleep(ctx, clock.System{}, 10*time.Millisecond); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held++
	m.highest = max(m.highest, m.held)
	conn, _ := net.Pipe()
	return upstream.NewConn(address, time.Now(), conn, nil), nil
}

func (m *fakeMember) close(ctx context.Context, c wire.Conn) error {
	_ = c.Close()
	err := clock.Sleep(ctx, clock.System{}, closeLatency)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held--
	return err
}

// useRealResources replaces the fake resources of an instance that does not run yet.
func (inst *fakeInstance) useRealResources(member *fakeMember) (*pool.Limited, *admission.Controller) {
	p := pool.New(pool.Config{
		Group: testGroup,
		Clock: clock.System{},
		Rand:  rand.New(rand.NewPCG(1, 1)),
		Open:  member.open,
		Close: member.close,
	})
	g := admission.New(admission.Config{Group: testGroup, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(2, 2))})
	inst.manager.cfg.Connections, inst.manager.cfg.Slots = PoolResource(p), GateResource(g)
	inst.manager.cfg.ControlConnections = 0
	inst.manager.cfg.OnHeldChanged = func(bool) {}
	return p, g
}

func TestTwoPoolsStayWithinTotal(t *testing.T) {
	// Two instances with real pools fill up in turn. What one leaves idle and open is
	// closed and lent to the other, and the member never holds more than the total.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation(t)
		defer sim.stop()
		member := &fakeMember{}
		var pools []*pool.Limited
		for _, domain := range []string{"poa-a", "poa-b"} {
			inst := sim.newInstance(domain+"-1", domain)
			p, _ := inst.useRealResources(member)
			pools = append(pools, p)
			inst.runManager()
		}
		sleep(5 * time.Second)
		for round := range 4 {
			usePool(is, pools[round%2], 25)
			sleep(3 * peakWindow)
		}
		t.Logf("the member held %d connections at most of %d", member.highest, total.Connections)
		is.True(member.highest <= total.Connections)
		is.True(member.highest >= 15)
		for _, p := range pools {
			is.NoErr(p.Close(t.Context()))
		}
		is.Equal(member.held, 0)
	})
}

// usePool acquires as many of n connections as it gets within five seconds, checks that
// it got at least ten, and releases them.
func usePool(is *is.I, p *pool.Limited, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	got := make(chan wire.Conn, n)
	for range n {
		wg.Go(func() {
			if c, err := p.Acquire(ctx, "10.0.0.1:5432", ""); err == nil {
				got <- c
			}
		})
	}
	wg.Wait()
	close(got)
	count := 0
	for c := range got {
		count++
		p.Release(c)
	}
	is.True(count > 9)
}
