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

// member counts the connections that one member holds.
type member struct {
	mu      sync.Mutex
	held    int
	highest int
}

func (m *member) open(ctx context.Context, address, _ string) (wire.Conn, error) {
	if err := clock.Sleep(ctx, clock.System{}, 10*time.Millisecond); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held++
	m.highest = max(m.highest, m.held)
	near, _ := net.Pipe()
	return upstream.NewConn(address, time.Now(), near, nil), nil
}

func (m *member) close(ctx context.Context, c wire.Conn) error {
	_ = c.Close()
	err := clock.Sleep(ctx, clock.System{}, closeLatency)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held--
	return err
}

// useRealParts replaces the fake resources of a machine that does not run yet.
func (m *machine) useRealParts(at *member) (*pool.Limited, *admission.Controller) {
	p := pool.New(pool.Config{
		Group: testGroup,
		Clock: clock.System{},
		Rand:  rand.New(rand.NewPCG(1, 1)),
		Open:  at.open,
		Close: at.close,
	})
	g := admission.New(admission.Config{Group: testGroup, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(2, 2))})
	m.manager.cfg.Connections, m.manager.cfg.Slots = Pool(p), Gate(g)
	m.manager.cfg.Control = 0
	m.manager.cfg.SeatChanged = func(bool) {}
	return p, g
}

func TestPoolsShareATotal(t *testing.T) {
	// Two homes with real pools. Both fill up in turn: what one leaves idle and
	// open is closed and lent to the other, and the member never holds more
	// than the total.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		defer w.end()
		at := &member{}
		var pools []*pool.Limited
		for _, domain := range []string{"poa-a", "poa-b"} {
			m := w.build(domain+"-1", domain)
			p, _ := m.useRealParts(at)
			pools = append(pools, p)
			m.run()
		}
		after(5 * time.Second)
		for round := range 4 {
			usePool(is, pools[round%2], 25)
			after(3 * peakWindow)
		}
		t.Logf("the member held %d connections at most of %d", at.highest, total.Connections)
		is.True(at.highest <= total.Connections)
		is.True(at.highest >= 15)
		for _, p := range pools {
			is.NoErr(p.Close(t.Context()))
		}
		is.Equal(at.held, 0)
	})
}

// usePool holds as many of n connections as it gets for a while.
func usePool(is *is.I, p *pool.Limited, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var all sync.WaitGroup
	got := make(chan wire.Conn, n)
	for range n {
		all.Go(func() {
			if c, err := p.Acquire(ctx, "10.0.0.1:5432", ""); err == nil {
				got <- c
			}
		})
	}
	all.Wait()
	close(got)
	count := 0
	for c := range got {
		count++
		p.Release(c)
	}
	is.True(count > 9)
}
