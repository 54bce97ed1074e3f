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
	errUnreachable = errors.New("no route")
	total          = Amount{Connections: 35, Slots: 5}
)

// simulation simulates the platform, the network between instances, and what members
// see.
type simulation struct {
	t                interface{ Fatal(args ...any) }
	instancesCreated uint64
	// holderExpiry and sampleInterval replace the defaults of Config if they are set.
	holderExpiry   time.Duration
	sampleInterval time.Duration

	mu           sync.Mutex
	object       platform.Object
	platformDown bool
	inventory    map[string]bool
	instances    map[string]*fakeInstance
	// delayed holds updates that are still on their way to the platform.
	delayed []func()
	// nextFault is the fault of the next update.
	nextFault updateFault
	// held counts what members hold; maxHeld is the maximum so far.
	held    Amount
	maxHeld Amount
	// newestLedger is the stored ledger; violation describes the first violation.
	newestLedger Ledger
	// era is the era of the platform's store, and past what its ledger was before each change.
	// returned is set once the store returned from a copy: instances may then use what the store
	// has lost, as long as the total holds.
	era       int64
	past      []pastLedger
	returned  bool
	violation string
	writes    int
	reads     int
}

// updateFault is a fault of one update of the ledger.
type updateFault int

const (
	noFault updateFault = iota
	// loseAnswer: the update takes effect, its answer is lost.
	loseAnswer
	// loseUpdate: the update is lost on its way.
	loseUpdate
	// delayUpdate: the update takes effect long after its caller gave up.
	delayUpdate
)

func newSimulation(t interface{ Fatal(args ...any) }) *simulation {
	return &simulation{t: t, era: 1, inventory: make(map[string]bool), instances: make(map[string]*fakeInstance)}
}

// readLedger returns the ledger that the platform stores.
func (sim *simulation) readLedger() Ledger {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var l Ledger
	if sim.object.Version > 0 {
		if err := json.Unmarshal(sim.object.Value, &l); err != nil {
			sim.t.Fatal(err)
		}
	}
	return l
}

// withLock runs a change of the simulation while holding mu.
func (sim *simulation) withLock(change func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change()
}

// faultPending reports whether the fault of the next update has not happened yet.
func (sim *simulation) faultPending() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.nextFault != noFault
}

// heldByMembers returns what members hold now.
func (sim *simulation) heldByMembers() Amount {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.held
}

// addHeld changes what members hold of one instance, and checks it against the shares.
func (sim *simulation) addHeld(inst *fakeInstance, a Amount) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.held = sim.held.Plus(a)
	sim.maxHeld = sim.maxHeld.Max(sim.held)
	inst.held = inst.held.Plus(a)
	sim.checkHeld(inst)
	if sim.returned {
		if bound := sim.newestLedger.Total; (Amount{}).Within(a) && !sim.held.Within(bound) {
			sim.recordViolation("members hold %+v of %+v", sim.held, bound)
		}
		return
	}
	if sum := sim.newestLedger.Sum(); (Amount{}).Within(a) && !sim.held.Within(sum) {
		sim.recordViolation("members hold %+v, the shares sum to %+v", sim.held, sum)
	}
}

// checkHeld checks that an instance holds no more than its share. The caller holds mu.
func (sim *simulation) checkHeld(inst *fakeInstance) {
	if sim.returned {
		return
	}
	var size Amount
	if s := sim.newestLedger.shareOf(inst.manager.self); s != nil {
		size = s.Size
	}
	if !inst.held.Within(size) {
		sim.recordViolation("%s holds %+v, its share is %+v", inst.id, inst.held, size)
	}
}

// recordViolation records a violation if it is the first. The caller holds mu.
func (sim *simulation) recordViolation(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}
