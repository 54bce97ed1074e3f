package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	// probeEvery is how often a write is tried: the precision of a gap.
	probeEvery = 5 * time.Millisecond
	// probeConns bounds the writes that hang at one time. A caller whose write
	// hangs must not keep others from being tried.
	probeConns = 64
)

// prober writes to one group at a steady beat, to see when writes work again.
type prober struct {
	bench *bench
	group int
	idle  chan *pgx.Conn
	wg    sync.WaitGroup
	count int
}

func newProber(b *bench, group int) *prober {
	p := &prober{bench: b, group: group, idle: make(chan *pgx.Conn, probeConns)}
	for range probeConns {
		p.idle <- nil
	}
	return p
}

// warm opens the connections, so that a gap does not measure their set-up.
func (p *prober) warm(ctx context.Context) {
	for i := range probeConns {
		<-p.idle
		conn, err := p.bench.dial(ctx, i%len(p.bench.entries), p.group, "")
		if err != nil {
			conn = nil
		}
		p.idle <- conn
	}
}

// run probes until ctx ends and waits for the writes in flight.
func (p *prober) run(ctx context.Context) {
	ticker := time.NewTicker(probeEvery)
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
			p.count++
			number := p.count
			p.wg.Go(func() { p.idle <- p.probe(conn, number) })
		default:
		}
	}
}

// probe tries one write and returns the connection to use next, if any.
func (p *prober) probe(conn *pgx.Conn, number int) *pgx.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if conn == nil {
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		c, err := p.bench.dial(dialCtx, number%len(p.bench.entries), p.group, "")
		if err != nil {
			return nil
		}
		conn = c
	}
	c := p.bench.profile.plainWrite()
	e := entry{p.group, fmt.Sprintf("probe/%d", number), "probe"}
	began := time.Now()
	err := insert(ctx, conn, e, c)
	if err != nil {
		p.bench.ledger.refusal(err, began)
	}
	p.bench.ledger.wrote(e, judge(err), c.name, began)
	if conn.IsClosed() {
		return nil
	}
	return conn
}

// close ends the idle connections.
func (p *prober) close() {
	for range probeConns {
		if conn := <-p.idle; conn != nil {
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			_ = conn.Close(ctx)
			cancel()
		}
	}
}
