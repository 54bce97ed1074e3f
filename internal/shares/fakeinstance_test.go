package shares

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
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
	m := sim.newInstance(id, domain)
	m.runManager()
	return m
}

// newInstance creates a process without running its manager.
func (sim *simulation) newInstance(id, domain string) *fakeInstance {
	sim.mu.Lock()
	old := sim.instances[id]
	m := &fakeInstance{sim: sim, id: id, domain: domain}
	if old != nil {
		m.incarnation = old.incarnation + 1
	}
	sim.inventory[id] = true
	sim.instancesCreated++
	serial := sim.instancesCreated
	sim.mu.Unlock()
	m.connections = &fakeResource{instance: m, unit: Amount{Connections: 1}}
	m.slots = &fakeResource{instance: m, unit: Amount{Slots: 1}}
	self := Holder{Instance: id, Incarnation: m.incarnationName(), Address: id, FailureDomain: domain}
	m.manager = New(Config{
		Group:        testGroup,
		Self:         self,
		Clock:        clock.System{},
		Rand:         rand.New(rand.NewPCG(serial, 7)),
		Platform:     instancePlatform{sim, m},
		Peers:        instancePeers{sim, m},
		Connections:  m.connections,
		Slots:        m.slots,
		Control:      testControl,
		HolderExpiry: sim.holderExpiry,

		SampleInterval: sim.sampleInterval,
		SeatChanged:    m.setControlConnections,
	}, Allocation{Document: 1, Total: total, FailureDomains: []string{"poa-a", "poa-b", "fln-c"}})
	m.directory = NewDirectory(m.incarnationName())
	m.directory.Add(m.manager)
	sim.locked(func() { sim.instances[id] = m })
	return m
}

func (m *fakeInstance) runManager() {
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	go m.manager.Run(ctx)
}

func (m *fakeInstance) incarnationName() string { return m.id + "/" + string(rune('a'+m.incarnation)) }

// setControlConnections opens or closes the control connections.
func (m *fakeInstance) setControlConnections(held bool) {
	m.sim.mu.Lock()
	killed := m.killed
	m.sim.mu.Unlock()
	switch {
	case killed:
	case held:
		m.connections.addExtra(testControl)
	default:
		m.connections.addExtra(-testControl)
	}
}

// blockWhileFrozen blocks while the process is frozen, even if ctx ends: a frozen
// process does not see its timers.
func (m *fakeInstance) blockWhileFrozen(ctx context.Context) error {
	m.sim.mu.Lock()
	thawed, killed := m.frozen, m.killed
	m.sim.mu.Unlock()
	if killed {
		return errUnreachable
	}
	if thawed != nil {
		<-thawed
	}
	return ctx.Err()
}

func (m *fakeInstance) freeze() {
	m.sim.mu.Lock()
	defer m.sim.mu.Unlock()
	if m.frozen == nil {
		m.frozen = make(chan struct{})
	}
}

func (m *fakeInstance) thaw() {
	m.sim.mu.Lock()
	defer m.sim.mu.Unlock()
	if m.frozen != nil {
		close(m.frozen)
		m.frozen = nil
	}
}

// kill ends the process at once; the operating system closes its connections.
func (m *fakeInstance) kill() {
	m.sim.mu.Lock()
	m.killed = true
	m.sim.mu.Unlock()
	m.stop()
	m.thaw()
	m.connections.releaseAll()
	m.slots.releaseAll()
}

// shutdown stops the process gracefully. It returns an error if the share was not
// released.
func (m *fakeInstance) shutdown(timeout time.Duration) error {
	m.connections.setDemand(0)
	m.slots.setDemand(0)
	m.stop()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := m.manager.Close(ctx)
	m.kill()
	return err
}

// instancePeers is the peer network as seen by one instance.
type instancePeers struct {
	*simulation
	m *fakeInstance
}

func (p instancePeers) Call(ctx context.Context, address, method string, params, reply any) error {
	if err := p.m.blockWhileFrozen(ctx); err != nil {
		return err
	}
	if err := clock.Sleep(ctx, clock.System{}, callLatency); err != nil {
		return err
	}
	p.mu.Lock()
	callee := p.instances[address]
	cut := callee == nil || callee.killed || callee.peersCut || p.m.peersCut
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
	if err := p.m.blockWhileFrozen(ctx); err != nil {
		return err
	}
	return json.Unmarshal(answer, reply)
}

// waitThawed waits until a frozen callee thaws or the caller's ctx ends.
func (m *fakeInstance) waitThawed(ctx context.Context) error {
	m.sim.mu.Lock()
	thawed := m.frozen
	m.sim.mu.Unlock()
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

func (m *fakeInstance) serveCall(ctx context.Context, method string, params any) ([]byte, error) {
	handlers := handlerMap{}
	m.directory.Register(handlers)
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
