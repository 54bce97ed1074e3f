package pool

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/upstream"
	"github.com/topazrock/topazrock/internal/wire"
)

var errNoAnswer = errors.New("no answer")

const (
	openLatency  = 10 * time.Millisecond
	roundTrip    = 3 * time.Millisecond
	firstMember  = "10.0.0.1:5432"
	secondMember = "10.0.0.2:5432"
)

// fakeMembers simulates members and counts the connections that they hold.
type fakeMembers struct {
	mu sync.Mutex
	// connections counts the connections by member, total those of all members; maxTotal is
	// the highest total seen.
	connections map[string]int
	total       int
	maxTotal    int
	// openings counts the attempts to open, concurrent those in progress, and maxConcurrent
	// is the highest number in progress at once.
	openings      int
	concurrent    int
	maxConcurrent int
	attempts      []time.Time
	// full members refuse connections; down ones cannot be reached.
	full map[string]bool
	down map[string]bool
	// silent connections do not answer probes; the member has closed those in
	// closedByMember.
	silent         map[wire.Conn]bool
	closedByMember map[wire.Conn]bool
	// unconfirmed disables the confirmation of closes.
	unconfirmed bool
}

func newFakeMembers() *fakeMembers {
	return &fakeMembers{
		connections:    make(map[string]int),
		full:           make(map[string]bool),
		down:           make(map[string]bool),
		silent:         make(map[wire.Conn]bool),
		closedByMember: make(map[wire.Conn]bool),
	}
}

func (f *fakeMembers) open(ctx context.Context, address, _ string) (wire.Conn, error) {
	f.beginOpening()
	defer f.endOpening()
	if err := clock.Sleep(ctx, clock.System{}, openLatency); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.full[address] {
		return nil, wire.ErrFull
	}
	if f.down[address] {
		return nil, errNoAnswer
	}
	f.connections[address]++
	f.total++
	f.maxTotal = max(f.maxTotal, f.total)
	client, _ := net.Pipe()
	return upstream.NewConn(address, time.Now(), client, nil), nil
}

func (f *fakeMembers) beginOpening() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openings++
	f.attempts = append(f.attempts, time.Now())
	f.concurrent++
	f.maxConcurrent = max(f.maxConcurrent, f.concurrent)
}

func (f *fakeMembers) endOpening() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.concurrent--
}

// close simulates a member that sees the end of a connection after half a round trip; the
// confirmation arrives after a whole one.
func (f *fakeMembers) close(ctx context.Context, c wire.Conn) error {
	_ = c.Close()
	_ = clock.Sleep(ctx, clock.System{}, roundTrip/2)
	f.mu.Lock()
	f.connections[c.Address()]--
	f.total--
	unconfirmed := f.unconfirmed
	f.mu.Unlock()
	if unconfirmed {
		<-ctx.Done()
		return ctx.Err()
	}
	return clock.Sleep(ctx, clock.System{}, roundTrip/2)
}

func (f *fakeMembers) probe(ctx context.Context, c wire.Conn) error {
	f.mu.Lock()
	silent := f.silent[c]
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errNoAnswer
	}
	return clock.Sleep(ctx, clock.System{}, roundTrip)
}

func (f *fakeMembers) check(c wire.Conn) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closedByMember[c] {
		return net.ErrClosed
	}
	return nil
}

// count returns the number of connections that the members hold now.
func (f *fakeMembers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total
}

// newPool returns a pool of connections to the simulated members.
func (f *fakeMembers) newPool(limit int) *Limited {
	return New(f.config(limit))
}

func (f *fakeMembers) config(limit int) Config {
	return Config{
		Group: "contracts",
		Clock: clock.System{},
		Rand:  rand.New(rand.NewPCG(1, 2)),
		Open:  f.open,
		Probe: f.probe,
		Check: f.check,
		Close: f.close,
		Limit: limit,
	}
}
