package shares

import (
	"context"
	"encoding/json"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

// platformOf is the platform as one machine reaches it.
type platformOf struct {
	*world
	m *machine
}

func (p platformOf) reach(ctx context.Context) error {
	if err := p.m.thawed(ctx); err != nil {
		return err
	}
	if err := clock.Sleep(ctx, clock.System{}, callLatency); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.m.cutOff {
		return platform.ErrUnavailable
	}
	return nil
}

func (p platformOf) Get(ctx context.Context, _ platform.Kind, _ string) (platform.Object, error) {
	if err := p.reach(ctx); err != nil {
		return platform.Object{}, err
	}
	p.mu.Lock()
	p.reads++
	object := p.object
	p.mu.Unlock()
	if err := p.m.thawed(ctx); err != nil {
		return platform.Object{}, err
	}
	if object.Version == 0 {
		return object, platform.ErrNotFound
	}
	return object, nil
}

func (p platformOf) Put(ctx context.Context, _ platform.Kind, _ string, value []byte, ifVersion int64) (platform.Object, error) {
	if err := p.reach(ctx); err != nil {
		return platform.Object{}, err
	}
	object, err := p.put(value, ifVersion)
	if frozen := p.m.thawed(ctx); frozen != nil {
		return platform.Object{}, platform.ErrOutcomeUnknown
	}
	return object, err
}

func (p platformOf) put(value []byte, ifVersion int64) (platform.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	fault := p.lose
	p.lose = loseNothing
	switch fault {
	case loseUpdate:
		return platform.Object{}, platform.ErrOutcomeUnknown
	case delayUpdate:
		p.late = append(p.late, func() { _ = p.store(value, ifVersion) })
		return platform.Object{}, platform.ErrOutcomeUnknown
	}
	if err := p.store(value, ifVersion); err != nil {
		return platform.Object{}, err
	}
	if fault == loseAnswer {
		return platform.Object{}, platform.ErrOutcomeUnknown
	}
	return p.object, nil
}

// store applies an update under the lock.
func (w *world) store(value []byte, ifVersion int64) error {
	if w.object.Version != ifVersion {
		return platform.ErrConflict
	}
	var l Ledger
	if err := json.Unmarshal(value, &l); err != nil {
		return err
	}
	if sum := l.Sum(); !sum.Within(l.Total.Max(w.current.Sum())) {
		w.breach("the ledger sums to %+v of %+v", sum, l.Total)
	}
	w.current = l
	w.object.Version++
	w.object.Value = value
	for _, m := range w.machines {
		w.compare(m)
	}
	return nil
}

func (p platformOf) Inventory(ctx context.Context) (platform.Inventory, error) {
	if err := p.reach(ctx); err != nil {
		return platform.Inventory{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var inventory platform.Inventory
	for id := range p.list {
		inventory.Instances = append(inventory.Instances, platform.Instance{ID: id})
	}
	return inventory, nil
}

func (p platformOf) List(context.Context, platform.Kind) ([]platform.Object, int64, error) {
	return nil, 0, platform.ErrUnavailable
}

func (p platformOf) Delete(context.Context, platform.Kind, string, int64) error {
	return platform.ErrUnavailable
}

func (p platformOf) ListStale(context.Context, platform.Kind) ([]platform.Object, int64, error) {
	return nil, 0, platform.ErrUnavailable
}

func (p platformOf) Watch(context.Context, platform.Kind, int64) ([]platform.Object, int64, error) {
	return nil, 0, platform.ErrUnavailable
}

// deliverLate lets delayed updates arrive.
func (w *world) deliverLate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.late {
		f()
	}
	w.late = nil
}
