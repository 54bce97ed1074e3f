package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/config"
)

// measureStored holds more and more documents on two instances that exchange
// digests, with nothing changing.
func measureStored(ctx context.Context, o Options) ([]Slope, error) {
	var held, processor, bytes []Point
	for _, n := range []int{500, 1000, 2000, 5000} {
		t, err := startStores(ctx, o, n)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		held = append(held, Point{x, memory() - t.before})
		sent, begin := t.network.bytes.Load(), time.Now()
		processor = append(processor, Point{x, idleShare(ctx, o.Window)})
		bytes = append(bytes, Point{x, float64(t.network.bytes.Load()-sent) / time.Since(begin).Seconds()})
		t.stop()
	}
	return []Slope{
		fit("documents in force", "bytes of memory, two instances", held),
		fit("documents in force", "share of a core at rest, two instances", processor),
		fit("documents in force", "bytes a second at rest, two digests", bytes),
	}, nil
}

// documentsChanged is how many documents the changes go round.
const documentsChanged = 100

// measureChanges applies changes at several rates at a relay, which pushes them
// to one instance.
func measureChanges(ctx context.Context, o Options) ([]Slope, error) {
	t, err := startStores(ctx, o, documentsChanged)
	if err != nil {
		return nil, err
	}
	defer t.stop()
	var processor, bytes []Point
	for _, rate := range []int{1, 5, 20, 50} {
		sent, used, begin := t.network.bytes.Load(), processorTime(), time.Now()
		changes, err := t.changeAtRate(ctx, rate, o.Window)
		if err != nil {
			return nil, err
		}
		seconds := time.Since(begin).Seconds()
		x := float64(changes) / seconds
		processor = append(processor, Point{x, (processorTime() - used).Seconds() / seconds})
		bytes = append(bytes, Point{x, float64(t.network.bytes.Load()-sent) / seconds})
	}
	return []Slope{
		fit("changes a second", "share of a core, two instances", processor),
		fit("changes a second", "bytes a second, one push a change", bytes),
	}, nil
}

// changeAtRate applies changes for the window, waits until the last ones are in
// force on the other instance, and returns how many there were.
func (t *twoStores) changeAtRate(ctx context.Context, rate int, window time.Duration) (int, error) {
	begin, changes := time.Now(), 0
	pause := time.Second / time.Duration(rate)
	for time.Since(begin) < window {
		i := changes % documentsChanged
		current, _ := t.relay.Current(serviceName(i))
		outcome, err := t.relay.Apply(ctx, serviceName(i), documentText(i), current.Version, "operator@example.org")
		if err != nil {
			return changes, err
		}
		if outcome.State != config.Accepted {
			return changes, fmt.Errorf("a change was %s: %s", outcome.State, outcome.Detail)
		}
		changes++
		next := begin.Add(time.Duration(changes) * pause)
		if err := clock.Sleep(ctx, clock.System{}, time.Until(next)); err != nil {
			return changes, err
		}
	}
	return changes, waitUntil(ctx, func() bool {
		for name, version := range t.relay.Versions() {
			if t.child.Versions()[name] < version {
				return false
			}
		}
		return true
	})
}
