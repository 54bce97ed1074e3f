package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	// probeInterval is the time between two probes, and so the precision of a gap.
	probeInterval = 5 * time.Millisecond
	// maxProbes limits the concurrent probes. One connection would not be enough: a
	// write that hangs must not delay the next probe.
	maxProbes = 64
)

// prober writes to one group at a fixed interval to detect when writes succeed again.
type prober struct {
	bench      *bench
	group      int
	idle       chan *pgx.Conn
	wg         sync.WaitGroup
	probeCount int
}

func newProber(b *bench, group int) *prober {
	p := &prober{bench: b, group: group, idle: make(chan *pgx.Conn, maxProbes)}
	for range maxProbes {
		p.idle <- nil
	}
	return p
}

// openConnections opens all connections in advance, so that a gap does not include
// the time to connect.
func (p *prober) openConnections(ctx context.Context) {
	for i := range maxProbes {
		<-p.idle
		conn, err := p.bench.dial(ctx, i%len(p.bench.entryAddresses), p.group, "")
		if err != nil {
			conn = nil
		}
		p.idle <- conn
	}
}

// run probes until ctx is done, then waits for the writes in flight.
func (p *prober) run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.wg.Wait()
			return
		case <-ticker.C:
		}
		select {
		case conn := <-p.idle:
			p.probeCount++
			number := p.probeCount
			p.wg.Go(func() { p.idle <- p.tryWrite(conn, number) })
		default:
		}
	}
}

// tryWrite attempts one write and returns the connection for reuse, or nil if it is
// closed.
func (p *prober) tryWrite(conn *pgx.Conn, number int) *pgx.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if conn == nil {
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		c, err := p.bench.dial(dialCtx, number%len(p.bench.entryAddresses), p.group, "")
		if err != nil {
			return nil
		}
		conn = c
	}
	c := p.bench.profile.unkeyedWrite()
	w := writeRecord{p.group, fmt.Sprintf("probe/%d", number), "probe"}
	began := time.Now()
	err := insert(ctx, conn, w, c)
	if err != nil {
		p.bench.history.recordError(err, began)
	}
	p.bench.history.recordWrite(w, outcomeOf(err), c.name, began)
	if conn.IsClosed() {
		return nil
	}
	return conn
}

// closeConnections closes all connections.
func (p *prober) closeConnections() {
	for range maxProbes {
		if conn := <-p.idle; conn != nil {
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			_ = conn.Close(ctx)
			cancel()
		}
	}
}
