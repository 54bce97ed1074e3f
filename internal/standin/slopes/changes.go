package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/config"
)

// measureStoredDocuments measures two instances that hold an increasing number of
// documents and exchange digests, while no document changes.
func measureStoredDocuments(ctx context.Context, o Options) ([]Slope, error) {
	var memoryUse, cpu, bytes []Point
	for _, n := range []int{500, 1000, 2000, 5000} {
		p, err := startStorePair(ctx, o, n)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		memoryUse = append(memoryUse, Point{x, memoryInUse() - p.memoryBefore})
		bytesBefore, begin := p.network.bytes.Load(), time.Now()
		cpu = append(cpu, Point{x, idleCPUShare(ctx, o.Window)})
		bytes = append(bytes, Point{x, float64(p.network.bytes.Load()-bytesBefore) / time.Since(begin).Seconds()})
		p.stop()
	}
	return []Slope{
		fitLine("documents in force", "bytes of memory, two instances", memoryUse),
		fitLine("documents in force", "share of a core at rest, two instances", cpu),
		fitLine("documents in force", "bytes a second at rest, two digests", bytes),
	}, nil
}

// changedDocuments is the number of documents that are changed in turn.
const changedDocuments = 100

// measureChanges applies changes at several rates to a relay, which pushes them to one
// instance.
func measureChanges(ctx context.Context, o Options) ([]Slope, error) {
	p, err := startStorePair(ctx, o, changedDocuments)
	if err != nil {
		return nil, err
	}
	defer p.stop()
	var cpu, bytes []Point
	for _, rate := range []int{1, 5, 20, 50} {
		bytesBefore, cpuBefore, begin := p.network.bytes.Load(), cpuTime(), time.Now()
		changes, err := p.changeAtRate(ctx, rate, o.Window)
		if err != nil {
			return nil, err
		}
		seconds := time.Since(begin).Seconds()
		x := float64(changes) / seconds
		cpu = append(cpu, Point{x, (cpuTime() - cpuBefore).Seconds() / seconds})
		bytes = append(bytes, Point{x, float64(p.network.bytes.Load()-bytesBefore) / seconds})
	}
	return []Slope{
		fitLine("changes a second", "share of a core, two instances", cpu),
		fitLine("changes a second", "bytes a second, one push a change", bytes),
	}, nil
}

// changeAtRate applies changes for the duration of the window, waits until the other
// instance has applied all of them, and returns their number.
func (p *storePair) changeAtRate(ctx context.Context, rate int, window time.Duration) (int, error) {
	begin, changes := time.Now(), 0
	interval := time.Second / time.Duration(rate)
	for time.Since(begin) < window {
		i := changes % changedDocuments
		current, _ := p.relay.Current(serviceName(i))
		outcome, err := p.relay.Apply(ctx, serviceName(i), documentText(i), current.Version, "operator@example.org")
		if err != nil {
			return changes, err
		}
		if outcome.State != config.Accepted {
			return changes, fmt.Errorf("change was not accepted but %s: %s", outcome.State, outcome.Detail)
		}
		changes++
		next := begin.Add(time.Duration(changes) * interval)
		if err := clock.Sleep(ctx, clock.System{}, time.Until(next)); err != nil {
			return changes, err
		}
	}
	return changes, waitUntil(ctx, func() bool {
		for name, version := range p.relay.Versions() {
			if p.child.Versions()[name] < version {
				return false
			}
		}
		return true
	})
}
