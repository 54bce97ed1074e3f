package shares

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
)

// machine is one instance: a process with one manager, and its resources.
type machine struct {
	w           *world
	id          string
	domain      string
	incarnation int

	manager     *Manager
	directory   *Directory
	connections *fakeResource
	slots       *fakeResource
	stop        context.CancelFunc

	// What follows is guarded by world.mu.
	held     Amount
	dead     bool
	cutOff   bool
	deaf     bool
	gate     chan struct{}
	dropNext bool
}

// start boots a new process on the machine.
func (w *world) start(id, domain string) *machine {
	m := w.build(id, domain)
	m.run()
	return m
}

// build makes a process that does not run yet.
func (w *world) build(id, domain string) *machine {
	w.mu.Lock()
	old := w.machines[id]
	m := &machine{w: w, id: id, domain: domain}
	if old != nil {
		m.incarnation = old.incarnation + 1
	}
	w.list[id] = true
	w.serials++
	serial := w.serials
	w.mu.Unlock()
	m.connections = &fakeResource{m: m, unit: Amount{Connections: 1}}
	m.slots = &fakeResource{m: m, unit: Amount{Slots: 1}}
	self := Holder{Instance: id, Incarnation: m.name(), Address: id, FailureDomain: domain}
	m.manager = New(Config{
		Group:       testGroup,
		Self:        self,
		Clock:       clock.System{},
		Rand:        rand.New(rand.NewPCG(serial, 7)),
		Platform:    platformOf{w, m},
		Peers:       peersOf{w, m},
		Connections: m.connections,
		Slots:       m.slots,
		Control:     testControl,
		AgeOut:      w.ageOut,

		SampleInterval: w.sample,
		SeatChanged:    m.control,
	}, Allocation{Document: 1, Total: total, FailureDomains: []string{"poa-a", "poa-b", "fln-c"}})
	m.directory = NewDirectory(m.name())
	m.directory.Add(m.manager)
	w.set(func() { w.machines[id] = m })
	return m
}

func (m *machine) run() {
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	go m.manager.Run(ctx)
}

func (m *machine) name() string { return m.id + "/" + string(rune('a'+m.incarnation)) }

// control opens and closes the connections for control.
func (m *machine) control(seated bool) {
	m.w.mu.Lock()
	dead := m.dead
	m.w.mu.Unlock()
	switch {
	case dead:
	case seated:
		m.connections.add(testControl)
	default:
		m.connections.add(-testControl)
	}
}

// thawed waits while the process is frozen, whatever ctx says meanwhile: a
// frozen process does not see its timers.
func (m *machine) thawed(ctx context.Context) error {
	m.w.mu.Lock()
	gate, dead := m.gate, m.dead
	m.w.mu.Unlock()
	if dead {
		return errCut
	}
	if gate != nil {
		<-gate
	}
	return ctx.Err()
}

func (m *machine) freeze() {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.gate == nil {
		m.gate = make(chan struct{})
	}
}

func (m *machine) thaw() {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.gate != nil {
		close(m.gate)
		m.gate = nil
	}
}

// kill ends the process at once; the system closes its connections.
func (m *machine) kill() {
	m.w.mu.Lock()
	m.dead = true
	m.w.mu.Unlock()
	m.stop()
	m.thaw()
	m.connections.release()
	m.slots.release()
}

// shutdown stops gracefully and reports whether the seat was given up.
func (m *machine) shutdown(timeout time.Duration) error {
	m.connections.demand(0)
	m.slots.demand(0)
	m.stop()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := m.manager.Close(ctx)
	m.kill()
	return err
}

// peersOf is the network as one machine reaches it.
type peersOf struct {
	*world
	m *machine
}

func (p peersOf) Call(ctx context.Context, address, method string, params, reply any) error {
	if err := p.m.thawed(ctx); err != nil {
		return err
	}
	if err := clock.Sleep(ctx, clock.System{}, callLatency); err != nil {
		return err
	}
	p.mu.Lock()
	callee := p.machines[address]
	cut := callee == nil || callee.dead || callee.deaf || p.m.deaf
	var drop bool
	if !cut {
		drop, callee.dropNext = callee.dropNext, false
	}
	p.mu.Unlock()
	if cut {
		<-ctx.Done()
		return errCut
	}
	if err := callee.waitThawed(ctx); err != nil {
		return err
	}
	answer, err := callee.serve(ctx, method, params)
	if err != nil {
		return err
	}
	if drop {
		<-ctx.Done()
		return errCut
	}
	if err := p.m.thawed(ctx); err != nil {
		return err
	}
	return json.Unmarshal(answer, reply)
}

// waitThawed waits for a frozen callee as long as its caller does.
func (m *machine) waitThawed(ctx context.Context) error {
	m.w.mu.Lock()
	gate := m.gate
	m.w.mu.Unlock()
	if gate == nil {
		return nil
	}
	select {
	case <-gate:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *machine) serve(ctx context.Context, method string, params any) ([]byte, error) {
	handlers := registry{}
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

type registry map[string]peer.Handler

func (r registry) Handle(method string, h peer.Handler) { r[method] = h }
