package shares

import (
	"context"
	"encoding/json"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

// instancePlatform is the platform as seen by one instance.
type instancePlatform struct {
	*simulation
	instance *fakeInstance
}

func (p instancePlatform) simulateCall(ctx context.Context) error {
	if err := p.instance.blockWhileFrozen(ctx); err != nil {
		return err
	}
	if err := clock.Sleep(ctx, clock.System{}, callLatency); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.platformDown || p.instance.platformCut {
		return platform.ErrUnavailable
	}
	return nil
}

func (p instancePlatform) Get(ctx context.Context, _ platform.Kind, _ string) (platform.Object, error) {
	if err := p.simulateCall(ctx); err != nil {
		return platform.Object{}, err
	}
	p.mu.Lock()
	p.reads++
	object := p.object
	object.Version = platform.NewRevision(p.era, object.Version.Number())
	era := p.era
	p.mu.Unlock()
	p.instance.eras.Observe(era)
	if err := p.instance.blockWhileFrozen(ctx); err != nil {
		return platform.Object{}, err
	}
	if object.Version.Number() == 0 {
		return object, platform.ErrNotFound
	}
	return object, nil
}

func (p instancePlatform) Put(ctx context.Context, _ platform.Kind, _ string, value []byte, ifVersion platform.Revision) (platform.Object, error) {
	if err := p.instance.eras.CheckChange(ifVersion); err != nil {
		return platform.Object{}, err
	}
	if err := p.simulateCall(ctx); err != nil {
		return platform.Object{}, err
	}
	object, err := p.putWithFault(value, ifVersion)
	p.instance.eras.Observe(object.Version.Era())
	if err == nil {
		err = p.instance.eras.CheckChangeResponse(ifVersion, object.Version.Era())
	}
	if frozen := p.instance.blockWhileFrozen(ctx); frozen != nil {
		return platform.Object{}, platform.ErrOutcomeUnknown
	}
	return object, err
}

func (p instancePlatform) putWithFault(value []byte, ifVersion platform.Revision) (platform.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	fault := p.nextFault
	p.nextFault = noFault
	switch fault {
	case loseUpdate:
		return platform.Object{}, platform.ErrOutcomeUnknown
	case delayUpdate:
		p.delayed = append(p.delayed, func() { _ = p.storeLedger(value, ifVersion) })
		return platform.Object{}, platform.ErrOutcomeUnknown
	}
	if err := p.storeLedger(value, ifVersion); err != nil {
		return platform.Object{}, err
	}
	if fault == loseAnswer {
		return platform.Object{}, platform.ErrOutcomeUnknown
	}
	object := p.object
	object.Version = platform.NewRevision(p.era, object.Version.Number())
	return object, nil
}

// storeLedger applies an update. The caller holds mu.
func (sim *simulation) storeLedger(value []byte, ifVersion platform.Revision) error {
	if sim.object.Version.Number() != ifVersion.Number() {
		return platform.ErrConflict
	}
	var l Ledger
	if err := json.Unmarshal(value, &l); err != nil {
		return err
	}
	if sum := l.Sum(); !sum.Within(l.Total.Max(sim.newestLedger.Sum())) {
		sim.recordViolation("the ledger sums to %+v of %+v", sum, l.Total)
	}
	sim.past = append(sim.past, pastLedger{at: time.Now(), object: sim.object, ledger: sim.newestLedger})
	sim.newestLedger = l
	sim.object.Version++
	sim.object.Value = value
	for _, inst := range sim.instances {
		sim.checkHeld(inst)
	}
	return nil
}

func (p instancePlatform) Inventory(ctx context.Context) (platform.Inventory, error) {
	if err := p.simulateCall(ctx); err != nil {
		return platform.Inventory{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var inventory platform.Inventory
	for id := range p.inventory {
		inventory.Instances = append(inventory.Instances, platform.Instance{ID: id})
	}
	return inventory, nil
}

func (p instancePlatform) List(context.Context, platform.Kind) ([]platform.Object, platform.Revision, error) {
	return nil, 0, platform.ErrUnavailable
}

func (p instancePlatform) Delete(context.Context, platform.Kind, string, platform.Revision) error {
	return platform.ErrUnavailable
}

func (p instancePlatform) ListStale(context.Context, platform.Kind) ([]platform.Object, platform.Revision, error) {
	return nil, 0, platform.ErrUnavailable
}

func (p instancePlatform) Watch(context.Context, platform.Kind, platform.Revision) ([]platform.Object, platform.Revision, error) {
	return nil, 0, platform.ErrUnavailable
}

// deliverDelayed applies all delayed updates.
func (sim *simulation) deliverDelayed() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, f := range sim.delayed {
		f()
	}
	sim.delayed = nil
}

// Eras implements platform.API.
func (p instancePlatform) Eras() *platform.EraTracker { return p.instance.eras }
