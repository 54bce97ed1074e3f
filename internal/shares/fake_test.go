package shares

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"

	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	callLatency  = 2 * time.Millisecond
	closeLatency = 30 * time.Millisecond
	testControl  = 3
	testGroup    = "contracts"
)

var (
	errCut = errors.New("no route")
	total  = Amount{Connections: 35, Slots: 5}
)

// world is the platform, the network between instances, and what members see.
type world struct {
	t       interface{ Fatal(args ...any) }
	serials uint64
	// ageOut and sample replace the defaults of Config when they are set.
	ageOut time.Duration
	sample time.Duration

	mu       sync.Mutex
	object   platform.Object
	down     bool
	list     map[string]bool
	machines map[string]*machine
	// late holds updates that the network still carries.
	late []func()
	// lose says what becomes of the next update.
	lose loss
	// held counts what members hold; highest is the most they ever did.
	held    Amount
	highest Amount
	// current is the newest ledger; violation is the first breach.
	current   Ledger
	violation string
	writes    int
	reads     int
}

// loss is a fault of one update.
type loss int

const (
	loseNothing loss = iota
	// loseAnswer: the update takes effect, its answer is lost.
	loseAnswer
	// loseUpdate: the update is lost on its way.
	loseUpdate
	// delayUpdate: the update takes effect long after its caller gave up.
	delayUpdate
)

func newWorld(t interface{ Fatal(args ...any) }) *world {
	return &world{t: t, list: make(map[string]bool), machines: make(map[string]*machine)}
}

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

// ledger returns the newest ledger.
func (w *world) ledger() Ledger {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l Ledger
	if w.object.Version > 0 {
		if err := json.Unmarshal(w.object.Value, &l); err != nil {
			w.t.Fatal(err)
		}
	}
	return l
}

// set changes the faults.
func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// faulty reports whether an update is still to be lost.
func (w *world) faulty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lose != loseNothing
}

// seen returns what members hold now.
func (w *world) seen() Amount {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held
}

// hold counts what members see of one machine.
func (w *world) hold(m *machine, a Amount) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held = w.held.Plus(a)
	w.highest = w.highest.Max(w.held)
	m.held = m.held.Plus(a)
	w.compare(m)
	if sum := w.current.Sum(); (Amount{}).Within(a) && !w.held.Within(sum) {
		w.breach("members hold %+v, the seats sum to %+v", w.held, sum)
	}
}

// compare holds what a machine has against its seat, under the lock.
func (w *world) compare(m *machine) {
	var size Amount
	if s := w.current.seatOf(m.manager.self); s != nil {
		size = s.Size
	}
	if !m.held.Within(size) {
		w.breach("%s holds %+v, its seat is %+v", m.id, m.held, size)
	}
}

// breach notes the first violation, under the lock.
func (w *world) breach(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

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

// fakeResource opens as much as is demanded and allowed, keeps what is idle
// open, and closes slowly when its limit is lowered.
type fakeResource struct {
	m    *machine
	unit Amount

	mu      sync.Mutex
	limit   int
	want    int
	held    int
	extra   int
	closing bool
	gone    bool
	// stuck connections stay in use.
	stuck bool
}

// stick keeps what is held in use for good.
func (r *fakeResource) stick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stuck = true
}

// add counts connections beside the limit.
func (r *fakeResource) add(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return
	}
	r.extra += n
	r.count(n)
}

// count tells the members.
func (r *fakeResource) count(n int) {
	r.m.w.hold(r.m, Amount{n * r.unit.Connections, n * r.unit.Slots})
}

// release drops everything, as the end of the process does.
func (r *fakeResource) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(-r.held - r.extra)
	r.held, r.extra, r.gone = 0, 0, true
}

// demand sets how much callers would use.
func (r *fakeResource) demand(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.want = n
	r.work()
}

func (r *fakeResource) Set(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = n
	r.work()
}

// work opens at once and closes with a delay.
func (r *fakeResource) work() {
	if r.gone {
		return
	}
	if grow := min(r.want, r.limit) - r.held; grow > 0 && !r.closing {
		r.held += grow
		r.count(grow)
	}
	if r.held > r.limit && !r.closing && !r.stuck {
		r.closing = true
		go r.close()
	}
}

func (r *fakeResource) close() {
	_ = clock.Sleep(context.Background(), clock.System{}, closeLatency)
	_ = r.m.thawed(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closing = false
	if r.gone {
		return
	}
	if over := r.held - r.limit; over > 0 {
		r.held -= over
		r.count(-over)
	}
	r.work()
}

func (r *fakeResource) Settle(ctx context.Context) error {
	for {
		if err := r.m.thawed(ctx); err != nil {
			return err
		}
		r.mu.Lock()
		ok := r.held <= r.limit
		r.mu.Unlock()
		if ok {
			return nil
		}
		if err := clock.Sleep(ctx, clock.System{}, time.Millisecond); err != nil {
			return err
		}
	}
}

// bound returns the limit.
func (r *fakeResource) bound() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limit
}

func (r *fakeResource) Use() (inUse, waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(r.held, r.want), max(r.want-r.held, 0)
}
