package shares

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
)

// after sleeps in virtual time.
func after(d time.Duration) {
	_ = clock.Sleep(context.Background(), clock.System{}, d)
}

// run gives the test a world and ends all of its processes afterwards.
func run(t *testing.T, test func(is *is.I, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.end()
		test(is.New(t), w)
		if w.violation != "" {
			t.Error(w.violation)
		}
		if !w.highest.Within(total) {
			t.Errorf("members held %+v at most, the total is %+v", w.highest, total)
		}
	})
}

// end kills all processes and waits until their goroutines are gone.
func (w *world) end() {
	for _, m := range w.machines {
		m.kill()
	}
	after(time.Minute)
}

// three starts one instance in each failure domain.
func (w *world) three() (a, b, c *machine) {
	a, b, c = w.start("a1", "poa-a"), w.start("b1", "poa-b"), w.start("c1", "fln-c")
	after(5 * time.Second)
	return a, b, c
}

// seatName returns the name of the seat that a machine holds.
func (w *world) seatName(m *machine) string {
	l := w.ledger()
	if s := l.seatOf(m.manager.self); s != nil {
		return s.Name
	}
	return ""
}

func TestEachFailureDomainGetsItsSeat(t *testing.T) {
	run(t, func(is *is.I, w *world) {
		a, b, c := w.three()
		is.Equal(w.seatName(a), "poa-a")
		is.Equal(w.seatName(b), "poa-b")
		is.Equal(w.seatName(c), "fln-c")
		l := w.ledger()
		is.Equal(l.Sum(), total)
		is.Equal(a.connections.bound(), a.manager.Limit().Connections-testControl)
	})
}

func TestCutOffHomeGoesOnServing(t *testing.T) {
	// A failure domain loses the platform and all peers for half an hour, and the
	// platform drops it from its list. Its home keeps its whole seat, no other
	// domain takes it, and a mark is not enough.
	run(t, func(is *is.I, w *world) {
		a, b, _ := w.three()
		w.set(func() { a.cutOff, a.deaf = true, true })
		w.set(func() { delete(w.list, "a1") })
		b.connections.demand(30)
		before := a.manager.Limit()
		w.start("b2", "poa-b")
		w.start("c2", "fln-c")
		after(3 * DefaultAgeOut)
		is.Equal(a.manager.Limit(), before)
		is.Equal(w.seatName(a), "poa-a")
		a.connections.demand(30)
		after(time.Second)
	})
}

func TestPlatformOutageCostsNothing(t *testing.T) {
	// The platform is down for half an hour. Every home keeps its seat and its size.
	run(t, func(is *is.I, w *world) {
		a, b, c := w.three()
		w.set(func() { w.down = true })
		for _, m := range []*machine{a, b, c} {
			m.connections.demand(30)
			m.slots.demand(5)
		}
		after(3 * DefaultAgeOut)
		is.Equal(w.seen(), a.manager.Limit().Plus(b.manager.Limit()).Plus(c.manager.Limit()))
		w.set(func() { w.down = false })
		after(time.Minute)
		is.Equal(w.seatName(a), "poa-a")
	})
}

func TestRestartedProcessTakesItsSeatAtOnce(t *testing.T) {
	// A process dies and a new one starts on the same instance. It takes calls
	// at the same address, which proves that the old one is gone.
	run(t, func(is *is.I, w *world) {
		a, _, _ := w.three()
		a.connections.demand(5)
		a.kill()
		a = w.start("a1", "poa-a")
		after(time.Second)
		is.Equal(w.seatName(a), "poa-a")
	})
}

func TestReplacedInstanceTakesAReserveSeat(t *testing.T) {
	// A machine dies without a word and another one takes its place. There is no
	// proof that the old one holds nothing, so the new one serves from a reserve
	// seat at once, borrows, and moves to the domain's seat when that has aged out.
	run(t, func(is *is.I, w *world) {
		a, _, _ := w.three()
		a.connections.demand(5)
		after(time.Second)
		a.kill()
		replacement := w.start("a2", "poa-a")
		after(5 * time.Second)
		is.Equal(w.seatName(replacement), "reserve-1")
		is.True(replacement.manager.Limit().Slots >= 1)
		after(20 * time.Minute)
		is.Equal(w.seatName(replacement), "reserve-1")
		w.set(func() { delete(w.list, "a1") })
		after(DefaultAgeOut - time.Minute)
		is.Equal(w.seatName(replacement), "reserve-1")
		after(5 * time.Minute)
		is.Equal(w.seatName(replacement), "poa-a")
		after(time.Minute)
		l := w.ledger()
		is.Equal(l.Sum(), total)
	})
}

func TestWrongListMovesNoSeat(t *testing.T) {
	// The platform's list drops a living home, and a second instance of its
	// domain wants the seat. The home answers peers and removes any mark.
	run(t, func(is *is.I, w *world) {
		a, _, _ := w.three()
		w.set(func() { delete(w.list, "a1") })
		w.start("a2", "poa-a")
		after(3 * DefaultAgeOut)
		is.Equal(w.seatName(a), "poa-a")
		w.set(func() { a.deaf = true })
		after(3 * DefaultAgeOut)
		is.Equal(w.seatName(a), "poa-a")
	})
}

func TestGracefulStopHandsTheSeatOver(t *testing.T) {
	// A home stops as planned while another instance of its domain waits on a
	// reserve seat. The seat is given up after its connections closed, and the
	// other one is told and has it within a second.
	run(t, func(is *is.I, w *world) {
		a, _, _ := w.three()
		second := w.start("a2", "poa-a")
		after(5 * time.Second)
		is.Equal(w.seatName(second), "reserve-1")
		a.connections.demand(5)
		is.NoErr(a.shutdown(10 * time.Second))
		after(time.Second)
		is.Equal(w.seatName(second), "poa-a")
	})
}

func TestUnfinishedStopIsNoProof(t *testing.T) {
	// A home's stop runs out of time while a connection is still in use. Until
	// its process ends it must not tell peers that it holds nothing: the next
	// one would take the seat and open connections beside it.
	run(t, func(is *is.I, w *world) {
		a, _, _ := w.three()
		a.connections.demand(5)
		a.connections.stick()
		a.stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(a.manager.Close(ctx) != nil)
		a.directory.Remove(testGroup)
		second := w.start("a2", "poa-a")
		after(time.Minute)
		is.Equal(w.seatName(second), "reserve-1")
	})
}
