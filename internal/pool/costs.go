package pool

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/wire"
)

// costWeight is the weight of the newest of the values that are averaged: an average over about
// sixteen values follows a change of load within seconds and is not moved by a single value.
const costWeight = 1.0 / 16

// costs holds what the pool has measured of the cost of connections. It is guarded by Limited.mu.
type costs struct {
	// openTime is the average time of an opening, evictedAge the average time for which a
	// connection that was closed to make room had been idle; zero if there was none.
	openTime, evictedAge time.Duration
	// lastEviction is when a connection was last closed to make room, at first the pool's start.
	lastEviction time.Time
}

func average(previous, value time.Duration) time.Duration {
	if previous == 0 {
		return value
	}
	return previous + time.Duration(costWeight*float64(value-previous))
}

// recordEviction records that a connection that was idle since idleSince makes room for another.
func (c *costs) recordEviction(now, idleSince time.Time) {
	c.evictedAge = average(c.evictedAge, now.Sub(idleSince))
	c.lastEviction = now
}

// openTimed opens a connection and records the time that it took.
func (p *Limited) openTimed(ctx context.Context, address, workspace string) (wire.Conn, error) {
	start := p.cfg.Clock.Now()
	c, err := p.cfg.Open(ctx, address, workspace)
	if err == nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.costs.openTime = average(p.costs.openTime, p.cfg.Clock.Now().Sub(start))
	}
	return c, err
}

// OpenTime returns the average time of an opening; zero if none has succeeded.
func (p *Limited) OpenTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.costs.openTime
}

// IdleLifetime returns how long a connection stays idle before it is closed to make room for
// another one.
func (p *Limited) IdleLifetime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.costs.evictedAge, p.cfg.Clock.Now().Sub(p.costs.lastEviction))
}
