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

// mustEnter acquires a slot, or fails the test, and returns the slot's Release.
func mustEnter(t *testing.T, c *Controller, r Request) func() {
	t.Helper()
	slot, err := c.Acquire(t.Context(), r)
	if err != nil {
		t.Fatalf("enter: %v", err)
	}
	return slot.Release
}

// occupySlot acquires a slot and releases it after d, which sets the class's service time.
func occupySlot(t *testing.T, c *Controller, r Request, d time.Duration) {
	t.Helper()
	release := mustEnter(t, c, r)
	_ = clock.Sleep(t.Context(), clock.System{}, d)
	release()
}

// enterInBackground acquires a slot in a new goroutine, sends the class on got, and
// releases the slot.
func enterInBackground(c *Controller, r Request, got chan<- string) {
	go func() {
		slot, err := c.Acquire(context.Background(), r)
		if err == nil {
			got <- r.Class
			slot.Release()
		}
	}()
	synctest.Wait()
}

func TestHigherPriorityIsServedFirst(t *testing.T) {
	// The only slot is in use, a lookup waits, then a renewal arrives. The renewal gets the
	// slot first because of its priority.
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
	// Renewals arrive faster than the only slot can serve them. A waiting lookup is still
	// served after at most seven renewals.
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
	// Lookups use both slots and more of them wait. A renewal that arrives gets the first
	// slot that becomes free, so it waits for one running lookup to end and for none of the
	// waiting ones.
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
	// Renewals arrive occasionally and lookups in bulk. No slot stays empty while a lookup
	// waits: reserving one of five slots for renewals would cost a fifth of the capacity.
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

func TestExpectedWaitUsesTransactionHoldTime(t *testing.T) {
	// Both slots are held by transactions that were answered long ago and are idle between
	// statements. Transactions usually take 400 ms in total. A request with a deadline of
	// 350 ms arrives 300 ms after they began: it waits for the rest and is served. If they
	// were expected to take as long again as they have so far, the request would be refused
	// immediately.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(2)
		begin := func() *Slot {
			slot, err := c.Acquire(t.Context(), lookup)
			is.NoErr(err)
			_ = clock.Sleep(t.Context(), clock.System{}, 5*time.Millisecond)
			slot.MarkAnswered()
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

func TestTooShortDeadlineIsRefusedImmediately(t *testing.T) {
	// A lookup takes a second and one is running. The next caller has half a second: it is
	// refused on arrival, with a retry-after.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(1)
		occupySlot(t, c, lookup, time.Second)
		release := mustEnter(t, c, lookup)
		r := lookup
		r.Deadline = time.Now().Add(500 * time.Millisecond)
		began := time.Now()
		_, err := c.Acquire(t.Context(), r)
		e, ok := result.As(err)
		is.True(ok)
		is.Equal(e.Code, result.DeadlineTooShort)
		is.Equal(time.Since(began), time.Duration(0))
		is.True(e.RetryAfter >= time.Second)
		release()
	})
}

func TestQueueIsBounded(t *testing.T) {
	// The queue of a class is full. The next request of that class is refused immediately,
	// while a request of another class is still queued.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(1)
		release := mustEnter(t, c, lookup)
		got := make(chan string, 2)
		bounded := lookup
		bounded.MaxQueue = 1
		enterInBackground(c, bounded, got)
		_, err := c.Acquire(t.Context(), bounded)
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
	// The slot is held by a statement that never ends. The waiter gets its final answer at
	// its deadline, not when the slot becomes free.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(1)
		release := mustEnter(t, c, lookup)
		r := renewal
		r.Deadline = time.Now().Add(time.Second)
		began := time.Now()
		_, err := c.Acquire(t.Context(), r)
		e, _ := result.As(err)
		is.Equal(e.Code, result.QueueTimeout)
		is.Equal(time.Since(began), time.Second)
		release()
	})
}

func TestLateWaiterIsRefusedBeforeItsDeadline(t *testing.T) {
	// A request has missed its objective, and six others that have not are served before
	// it. It is refused as soon as the time left is shorter than its service time, not at
	// its deadline.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(1)
		occupySlot(t, c, lookup, 90*time.Millisecond)
		release := mustEnter(t, c, lookup)
		late := lookup
		late.ObjectiveDeadline = time.Now()
		late.Deadline = time.Now().Add(400 * time.Millisecond)
		began := time.Now()
		refusedAfter := make(chan time.Duration, 1)
		go func() {
			_, err := c.Acquire(context.Background(), late)
			is.True(err != nil)
			refusedAfter <- time.Since(began)
		}()
		synctest.Wait()
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() {
				soon := renewal
				soon.ObjectiveDeadline = time.Now().Add(time.Minute)
				slot, err := c.Acquire(context.Background(), soon)
				is.NoErr(err)
				_ = clock.Sleep(t.Context(), clock.System{}, 90*time.Millisecond)
				slot.Release()
			})
		}
		synctest.Wait()
		_ = clock.Sleep(t.Context(), clock.System{}, 10*time.Millisecond)
		release()
		is.True(<-refusedAfter < 400*time.Millisecond)
		wg.Wait()
	})
}

func TestDrainWaitsForAdmittedAndQueuedRequests(t *testing.T) {
	// A planned shutdown begins while one request runs and one waits. Both end normally, a
	// new request is refused, and Drain returns only then.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(1)
		release := mustEnter(t, c, lookup)
		got := make(chan string, 1)
		enterInBackground(c, renewal, got)
		drained := make(chan error, 1)
		go func() { drained <- c.Drain(context.Background()) }()
		synctest.Wait()
		_, err := c.Acquire(t.Context(), renewal)
		e, _ := result.As(err)
		is.Equal(e.Code, result.Draining)
		is.Equal(len(drained), 0)
		release()
		is.Equal(<-got, "renewal")
		is.NoErr(<-drained)
	})
}

func TestSettleWaitsForRunningRequests(t *testing.T) {
	// Two requests run when the number of slots is lowered to one. Neither is interrupted;
	// WaitWithinLimit returns when one has ended, and only then may the slot be lent to another
	// instance.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(2)
		first, second := mustEnter(t, c, lookup), mustEnter(t, c, lookup)
		c.SetSlots(1)
		settled := make(chan error, 1)
		go func() { settled <- c.WaitWithinLimit(context.Background()) }()
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
			slot, err := c.Acquire(ctx, renewal)
			if err != nil {
				b.Error(err)
				return
			}
			slot.Release()
		}
	})
}
