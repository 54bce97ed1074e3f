package pool

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/topazrock/topazrock/internal/wire"
)

// stateMachine applies random operations to a pool and checks its invariants.
type stateMachine struct {
	members *fakeMembers
	pool    *Limited
	held    []wire.Conn
	// maxTotal is the highest number of connections that may count now. After the limit was
	// lowered, the previous limit applies until the pool has closed the excess.
	maxTotal int
	acquired chan wire.Conn
	waiting  int
}

func (m *stateMachine) acquire(t *rapid.T) {
	address := m.address(t)
	workspace := rapid.SampledFrom([]string{"", "north", "south"}).Draw(t, "workspace")
	timeout := time.Duration(rapid.IntRange(1, 400).Draw(t, "timeout")) * time.Millisecond
	m.waiting++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		c, _ := m.pool.Acquire(ctx, address, workspace)
		m.acquired <- c
	}()
}

func (m *stateMachine) address(t *rapid.T) string {
	return rapid.SampledFrom([]string{firstMember, secondMember}).Draw(t, "address")
}

func (m *stateMachine) release(t *rapid.T) {
	if len(m.held) == 0 {
		t.Skip("nothing held")
	}
	i := rapid.IntRange(0, len(m.held)-1).Draw(t, "which")
	c := m.held[i]
	m.held = slices.Delete(m.held, i, i+1)
	if rapid.Bool().Draw(t, "dirty") {
		c.MarkUnusable()
	}
	m.pool.Release(c)
	// If there are waiters, the connection may be in use again, and a second Release would
	// be that of its new user.
	if m.waiting == 0 && rapid.Bool().Draw(t, "twice") {
		m.pool.Release(c)
	}
}

func (m *stateMachine) advanceTime(t *rapid.T) {
	sleep(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
}

func (m *stateMachine) toggleFault(t *rapid.T) {
	address := m.address(t)
	m.members.mu.Lock()
	defer m.members.mu.Unlock()
	switch rapid.IntRange(0, 2).Draw(t, "fault") {
	case 0:
		m.members.full[address] = !m.members.full[address]
	case 1:
		m.members.down[address] = !m.members.down[address]
	case 2:
		m.members.unconfirmed = !m.members.unconfirmed
	}
}

func (m *stateMachine) silenceHeld(t *rapid.T) {
	if len(m.held) == 0 {
		t.Skip("nothing held")
	}
	c := m.held[0]
	m.members.mu.Lock()
	m.members.silent[c] = true
	m.members.mu.Unlock()
	m.pool.MarkSuspect(c.Address(), c.Opened())
}

func (m *stateMachine) setLeaving(t *rapid.T) {
	var leaving []string
	if rapid.Bool().Draw(t, "leaving") {
		leaving = []string{m.address(t)}
	}
	m.pool.SetLeaving(leaving)
}

func (m *stateMachine) setLimit(t *rapid.T) {
	n := rapid.IntRange(0, 6).Draw(t, "limit")
	m.maxTotal = max(m.maxTotal, n)
	m.pool.SetLimit(n)
}

// checkInvariants collects the acquired connections and compares the pool's counts with
// those of the members.
func (m *stateMachine) checkInvariants(t *rapid.T) {
	synctest.Wait()
	for len(m.acquired) > 0 {
		m.waiting--
		if c := <-m.acquired; c != nil {
			if slices.Contains(m.held, c) {
				t.Fatalf("one connection was handed out twice")
			}
			if !c.Reusable() {
				t.Fatalf("a connection that is not clean was handed out")
			}
			m.held = append(m.held, c)
		}
	}
	s := m.pool.Stats()
	if s.Total() <= s.Limit {
		m.maxTotal = s.Limit
	}
	if sum := m.members.count(); sum > s.Total() {
		t.Fatalf("members hold %d, the pool counts %+v", sum, s)
	}
	if s.Total() > m.maxTotal {
		t.Fatalf("counted %+v, allowed %d", s, m.maxTotal)
	}
	if s.InUse != len(m.held) {
		t.Fatalf("in use %d, held %d", s.InUse, len(m.held))
	}
}

// finish releases all connections and closes the pool; no member may hold a connection
// afterwards.
func (m *stateMachine) finish(t *rapid.T) {
	sleep(time.Second)
	m.checkInvariants(t)
	if m.waiting != 0 {
		t.Fatalf("%d callers wait past their deadline", m.waiting)
	}
	for _, c := range m.held {
		m.pool.Release(c)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := m.pool.Close(ctx); err != nil {
		t.Fatalf("close: %v, left %+v", err, m.pool.Stats())
	}
	if n := m.members.count(); n != 0 {
		t.Fatalf("members still hold %d", n)
	}
}

func TestPoolNeverPassesItsLimit(t *testing.T) {
	// Random requests, member faults, limit changes and leaving members. At no time may the
	// members hold more connections than the pool counts, or the pool count more than its
	// limit (the previous one until the excess is closed), or one connection be handed out
	// twice.
	for batch := range *batches {
		t.Run(strconv.Itoa(batch), func(t *testing.T) {
			seedBatch(batch)
			synctest.Test(t, checkPool)
		})
	}
}

func checkPool(t *testing.T) {
	rapid.Check(bubble{t}, func(t *rapid.T) {
		members := newFakeMembers()
		m := &stateMachine{members: members, pool: members.newPool(4), maxTotal: 4, acquired: make(chan wire.Conn, 1000)}
		defer m.stopPool()
		t.Repeat(map[string]func(*rapid.T){
			"acquire": m.acquire,
			"release": m.release,
			"pass":    m.advanceTime,
			"fault":   m.toggleFault,
			"silence": m.silenceHeld,
			"leave":   m.setLeaving,
			"limit":   m.setLimit,
			"":        m.checkInvariants,
		})
		m.finish(t)
	})
}

// bubble hides the methods of testing.T that must not be called in a synctest bubble.
type bubble struct{ testing.TB }

// stopPool ends the pool's goroutines, also after a failure.
func (m *stateMachine) stopPool() {
	m.pool.stop()
	sleep(time.Minute)
}

func BenchmarkAcquireRelease(b *testing.B) {
	members := newFakeMembers()
	p := members.newPool(32)
	ctx := context.Background()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c, err := p.Acquire(ctx, firstMember, "")
			if err != nil {
				b.Error(err)
				return
			}
			p.Release(c)
		}
	})
}
