package shares

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"time"

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
