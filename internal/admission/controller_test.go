package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/result"
)

func newController(slots int) *Controller {
	return New(Config{
		Group: "contracts",
		Clock: clock.System{},
		Rand:  rand.New(rand.NewPCG(1, 2)),
		Slots: slots,
	})
}

// enter takes a slot or ends the test.
func mustEnter(t *testing.T, c *Controller, r Request) func() {
	t.Helper()
	release, err := c.Enter(t.Context(), r)
	if err != nil {
		t.Fatalf("enter: %v", err)
	}
	return release.Release
}

// hold takes a slot and gives it back after d, so that the class's service time
// is known.
func occupySlot(t *testing.T, c *Controller, r Request, d time.Duration) {
	t.Helper()
	release := mustEnter(t, c, r)
	_ = clock.Sleep(t.Context(), clock.System{}, d)
	release()
}

// enterInBackground enters in the background and reports the class on got.
func enterInBackground(c *Controller, r Request, got chan<- string) {
	go func() {
		release, err := c.Enter(context.Background(), r)
		if err == nil {
			got <- r.Class
			release.Release()
		}
	}()
	synctest.Wait()
}

func TestRenewalsGoBeforeLookups(t *testing.T) {
	// The only slot is in use, a lookup waits, then a renewal arrives. The
	// renewal gets the slot first because of its priority.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(1)
		release := mustEnter(t, c, lookup)
		got := make(chan string, 2)
		enterInBackground(c, lookup, got)
		enterInBackground(c, renewal, got)
		release()
		is.Equal(<-got, "renewal")
		is.Equal(<-got, "lookup")
	})
}

func TestLowPriorityIsNotStarved(t *testing.T) {
	// Renewals keep coming faster than the one slot serves them. A lookup that
	// waits still gets its turn, after at most seven of them.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(1)
		release := mustEnter(t, c, lookup)
		got := make(chan string, 20)
		enterInBackground(c, lookup, got)
		for range 10 {
			enterInBackground(c, renewal, got)
		}
		release()
		before := 0
		for class := <-got; class != "lookup"; class = <-got {
			before++
		}
		is.Equal(before, longestWaitInterval-1)
	})
}

func TestUrgentWriteWaitsForOneBulkRequestAtMost(t *testing.T) {
	// Lookups hold both slots and more of them wait. A renewal arrives. It gets the
	// first slot that comes free, and so waits for the rest of one lookup and for
	// none of those that wait.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(2)
		first := mustEnter(t, c, lookup)
		second := mustEnter(t, c, lookup)
		got := make(chan string, 6)
		for range 5 {
			enterInBackground(c, lookup, got)
		}
		time.AfterFunc(20*time.Millisecond, first)
		began := time.Now()
		release := mustEnter(t, c, renewal)
		is.Equal(time.Since(began), 20*time.Millisecond)
		is.Equal(len(got), 0)
		release()
		second()
		for range 5 {
			is.Equal(<-got, "lookup")
		}
	})
}

func TestEverySlotIsUsed(t *testing.T) {
	// Renewals come in now and then, and lookups in bulk. No slot stays empty while a
	// lookup waits: one kept free for renewals would cost a fifth of what five slots
	// can do.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(2)
		mustEnter(t, c, renewal)()
		first, second := mustEnter(t, c, lookup), mustEnter(t, c, lookup)
		is.Equal(c.Stats().Running, 2)
		first()
		second()
	})
}

func TestSlotsOfTransactionsComeFreeAsUsual(t *testing.T) {
	// Both slots are held by transactions that were answered long ago and pause between
	// their statements; they usually take 400 ms in all. A request that has 350 ms comes
	// when they have taken 300. It waits for the rest and is served: were they expected
	// to stay as long again as they have, it would be refused at once.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(2)
		begin := func() *Slot {
			slot, err := c.Enter(t.Context(), lookup)
			is.NoErr(err)
			_ = clock.Sleep(t.Context(), clock.System{}, 5*time.Millisecond)
			slot.Answered()
			return slot
		}
		for range 2 {
			slot := begin()
			_ = clock.Sleep(t.Context(), clock.System{}, 395*time.Millisecond)
			slot.Release()
		}
		first, second := begin(), begin()
		_ = clock.Sleep(t.Context(), clock.System{}, 290*time.Millisecond)
		time.AfterFunc(100*time.Millisecond, first.Release)
		r := lookup
		r.Deadline = time.Now().Add(350 * time.Millisecond)
		mustEnter(t, c, r)()
		second.Release()
	})
}

func TestHopelessDeadlineIsRefusedAtOnce(t *testing.T) {
	// A lookup takes a second and one runs. The next caller has half a second:
	// it is refused on arrival and told when to come back.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(1)
		occupySlot(t, c, lookup, time.Second)
		release := mustEnter(t, c, lookup)
		r := lookup
		r.Deadline = time.Now().Add(500 * time.Millisecond)
		began := time.Now()
		_, err := c.Enter(t.Context(), r)
		e, ok := result.As(err)
		is.True(ok)
		is.Equal(e.Code, result.DeadlineTooShort)
		is.Equal(time.Since(began), time.Duration(0))
		is.True(e.RetryAfter >= time.Second)
		release()
	})
}

func TestQueueIsBounded(t *testing.T) {
	// The class's queue is full. The next request is refused at once, and a
	// request of another class still finds room.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(1)
		release := mustEnter(t, c, lookup)
		got := make(chan string, 2)
		bounded := lookup
		bounded.MaxQueue = 1
		enterInBackground(c, bounded, got)
		_, err := c.Enter(t.Context(), bounded)
		e, _ := result.As(err)
		is.Equal(e.Code, result.QueueFull)
		enterInBackground(c, renewal, got)
		is.Equal(c.Stats().Waiting, 2)
		release()
		is.Equal(<-got, "renewal")
		is.Equal(<-got, "lookup")
	})
}

func TestWaiterIsRefusedAtItsDeadline(t *testing.T) {
	// The slot is held by a statement that never ends. The waiter gets its
	// final answer at its deadline, not when the slot comes free.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(1)
		release := mustEnter(t, c, lookup)
		r := renewal
		r.Deadline = time.Now().Add(time.Second)
		began := time.Now()
		_, err := c.Enter(t.Context(), r)
		e, _ := result.As(err)
		is.Equal(e.Code, result.QueueTimeout)
		is.Equal(time.Since(began), time.Second)
		release()
	})
}

func TestLateWaiterIsToldWhenItsDeadlineCannotBeKept(t *testing.T) {
	// A request is too late for its objective, and six that are in time go before it. As
	// soon as the time left is shorter than an answer takes, it is told so, and not kept
	// until the deadline.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(1)
		occupySlot(t, c, lookup, 90*time.Millisecond)
		release := mustEnter(t, c, lookup)
		late := lookup
		late.WantedBy = time.Now()
		late.Deadline = time.Now().Add(400 * time.Millisecond)
		began := time.Now()
		told := make(chan time.Duration, 1)
		go func() {
			_, err := c.Enter(context.Background(), late)
			is.True(err != nil)
			told <- time.Since(began)
		}()
		synctest.Wait()
		var all sync.WaitGroup
		for range 6 {
			all.Go(func() {
				soon := renewal
				soon.WantedBy = time.Now().Add(time.Minute)
				slot, err := c.Enter(context.Background(), soon)
				is.NoErr(err)
				_ = clock.Sleep(t.Context(), clock.System{}, 90*time.Millisecond)
				slot.Release()
			})
		}
		synctest.Wait()
		_ = clock.Sleep(t.Context(), clock.System{}, 10*time.Millisecond)
		release()
		is.True(<-told < 400*time.Millisecond)
		all.Wait()
	})
}

func TestDrainCutsNothing(t *testing.T) {
	// A planned stop begins while one request runs and one waits. Both end as
	// usual, a new one is refused, and only then the drain is over.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(1)
		release := mustEnter(t, c, lookup)
		got := make(chan string, 1)
		enterInBackground(c, renewal, got)
		drained := make(chan error, 1)
		go func() { drained <- c.Drain(context.Background()) }()
		synctest.Wait()
		_, err := c.Enter(t.Context(), renewal)
		e, _ := result.As(err)
		is.Equal(e.Code, result.Draining)
		is.Equal(len(drained), 0)
		release()
		is.Equal(<-got, "renewal")
		is.NoErr(<-drained)
	})
}

func TestFewerSlotsSettleWhenRequestsEnd(t *testing.T) {
	// Two requests run when the slots are cut to one. Nothing is cut short;
	// Settle returns when one has ended, and only then may the slot be lent.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(2)
		first, second := mustEnter(t, c, lookup), mustEnter(t, c, lookup)
		c.SetSlots(1)
		settled := make(chan error, 1)
		go func() { settled <- c.Settle(context.Background()) }()
		synctest.Wait()
		is.Equal(len(settled), 0)
		first()
		first()
		is.NoErr(<-settled)
		is.Equal(c.Stats().Running, 1)
		second()
	})
}

func BenchmarkEnter(b *testing.B) {
	c := newController(64)
	ctx := context.Background()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			release, err := c.Enter(ctx, renewal)
			if err != nil {
				b.Error(err)
				return
			}
			release.Release()
		}
	})
}
