package shares

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

// fakeInstance is one process of an instance, with one manager and its resources.
type fakeInstance struct {
	sim         *simulation
	id          string
	domain      string
	incarnation int

	manager     *Manager
	directory   *Directory
	connections *fakeResource
	slots       *fakeResource
	stop        context.CancelFunc
	// eras are those that this process has seen.
	eras *platform.EraTracker

	// The following fields are guarded by simulation.mu.
	held           Amount
	killed         bool
	platformCut    bool
	peersCut       bool
	frozen         chan struct{}
	dropNextAnswer bool
}

// startInstance starts a new process of an instance.
func (sim *simulation) startInstance(id, domain string) *fakeInstance {
	inst := sim.newInstance(id, domain)
	inst.runManager()
	return inst
}

// newInstance creates a process without running its manager.
func (sim *simulation) newInstance(id, domain string) *fakeInstance {
	sim.mu.Lock()
	old := sim.instances[id]
	inst := &fakeInstance{sim: sim, id: id, domain: domain, eras: platform.NewEraTracker(clock.System{})}
	if old != nil {
		inst.incarnation = old.incarnation + 1
	}
	sim.inventory[id] = true
	sim.instancesCreated++
	serial := sim.instancesCreated
	sim.mu.Unlock()
	inst.connections = &fakeResource{instance: inst, unit: Amount{Connections: 1}}
	inst.slots = &fakeResource{instance: inst, unit: Amount{Slots: 1}}
	self := Holder{Instance: id, Incarnation: inst.incarnationName(), Address: id, FailureDomain: domain}
	inst.manager = New(Config{
		Group:              testGroup,
		Self:               self,
		Clock:              clock.System{},
		Rand:               rand.New(rand.NewPCG(serial, 7)),
		Platform:           instancePlatform{sim, inst},
		Peers:              instancePeers{sim, inst},
		Connections:        inst.connections,
		Slots:              inst.slots,
		ControlConnections: testControl,
		HolderExpiry:       sim.holderExpiry,

		SampleInterval: sim.sampleInterval,
		OnHeldChanged:  inst.setControlConnections,
	}, Allocation{DocumentVersion: 1, Total: total, FailureDomains: []string{"poa-a", "poa-b", "fln-c"}})
	inst.directory = NewDirectory(inst.incarnationName())
	inst.directory.Add(inst.manager)
	sim.withLock(func() { sim.instances[id] = inst })
	return inst
}

func (inst *fakeInstance) runManager() {
	ctx, stop := context.WithCancel(context.Background())
	inst.stop = stop
	go inst.manager.Run(ctx)
	go inst.pollPlatform(ctx)
}

// platformPoll is the interval of the calls to the platform that other parts of an instance make.
const platformPoll = 2 * time.Second

// pollPlatform lets the process see the platform's era as other parts of an instance do.
func (inst *fakeInstance) pollPlatform(ctx context.Context) {
	for clock.Sleep(ctx, clock.System{}, platformPoll) == nil {
		inst.sim.mu.Lock()
		era, reachable := inst.sim.era, !inst.sim.platformDown && !inst.platformCut && inst.frozen == nil
		inst.sim.mu.Unlock()
		if reachable {
			inst.eras.Observe(era)
		}
	}
}

func (m *fakeInstance) incarnationName() string { return m.id + "/" + string(rune('a'+m.incarnation)) }

// setControlConnections opens or closes the control connections.
func (inst *fakeInstance) setControlConnections(held bool) {
	inst.sim.mu.Lock()
	killed := inst.killed
	inst.sim.mu.Unlock()
	switch {
	case killed:
	case held:
		inst.connections.addExtra(testControl)
	default:
		inst.connections.addExtra(-testControl)
	}
}

// blockWhileFrozen blocks while the process is frozen, even if ctx ends meanwhile,
// because a frozen process does not see its timers expire. It then returns the error of
// ctx.
func (inst *fakeInstance) blockWhileFrozen(ctx context.Context) error {
	inst.sim.mu.Lock()
	thawed, killed := inst.frozen, inst.killed
	inst.sim.mu.Unlock()
	if killed {
		return errUnreachable
	}
	if thawed != nil {
		<-thawed
	}
	return ctx.Err()
}

func (inst *fakeInstance) freeze() {
	inst.sim.mu.Lock()
	defer inst.sim.mu.Unlock()
	if inst.frozen == nil {
		inst.frozen = make(chan struct{})
	}
}

func (inst *fakeInstance) thaw() {
	inst.sim.mu.Lock()
	defer inst.sim.mu.Unlock()
	if inst.frozen != nil {
		close(inst.frozen)
		inst.frozen = nil
	}
}

// kill ends the process at once; the operating system closes its connections.
func (inst *fakeInstance) kill() {
	inst.sim.mu.Lock()
	inst.killed = true
	inst.sim.mu.Unlock()
	inst.stop()
	inst.thaw()
	inst.connections.releaseAll()
	inst.slots.releaseAll()
}

// shutdown stops the process gracefully. It returns an error if the share was not
// released.
func (inst *fakeInstance) shutdown(timeout time.Duration) error {
	inst.connections.setDemand(0)
	inst.slots.setDemand(0)
	inst.stop()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := inst.manager.Close(ctx)
	inst.kill()
	return err
}

// instancePeers is the peer network as seen by one instance.
type instancePeers struct {
	*simulation
	instance *fakeInstance
}

func (p instancePeers) Call(ctx context.Context, address, method string, params, reply any) error {
	if err := p.instance.blockWhileFrozen(ctx); err != nil {
		return err
	}
	if err := clock.Sleep(ctx, clock.System{}, callLatency); err != nil {
		return err
	}
	p.mu.Lock()
	callee := p.instances[address]
	cut := callee == nil || callee.killed || callee.peersCut || p.instance.peersCut
	var drop bool
	if !cut {
		drop, callee.dropNextAnswer = callee.dropNextAnswer, false
	}
	p.mu.Unlock()
	if cut {
		<-ctx.Done()
		return errUnreachable
	}
	if err := callee.waitThawed(ctx); err != nil {
		return err
	}
	answer, err := callee.serveCall(ctx, method, params)
	if err != nil {
		return err
	}
	if drop {
		<-ctx.Done()
		return errUnreachable
	}
	if err := p.instance.blockWhileFrozen(ctx); err != nil {
		return err
	}
	return json.Unmarshal(answer, reply)
}

// waitThawed waits until a frozen callee thaws or the caller's ctx ends.
func (inst *fakeInstance) waitThawed(ctx context.Context) error {
	inst.sim.mu.Lock()
	thawed := inst.frozen
	inst.sim.mu.Unlock()
	if thawed == nil {
		return nil
	}
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (inst *fakeInstance) serveCall(ctx context.Context, method string, params any) ([]byte, error) {
	handlers := handlerMap{}
	inst.directory.Register(handlers)
	q, err := json.Marshal(params)
	if err != nil {
		return nil, err
	}
	answer, err := handlers[method](ctx, "", q)
	if err != nil {
		return nil, err
	}
	return json.Marshal(answer)
}

type handlerMap map[string]peer.Handler

func (r handlerMap) Handle(method string, h peer.Handler) { r[method] = h }
