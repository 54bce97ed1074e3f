package admission

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/result"
)

// A member is slow, so only one request at a time may be in flight on the seven connections
// of a home. Twenty requests become late while they wait; their deadline is one second, in
// which ten can be served. The others must be refused long before their deadline, so that
// their callers have time to try elsewhere.
func TestLateWaiterIsToldWhenItsTurnCannotCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const work, objective, deadline = 100 * time.Millisecond, 250 * time.Millisecond, time.Second
		c := New(Config{Group: "g", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 1)), Slots: 7, Adaptive: true})
		c.concurrency.limit = 1
		c.concurrency.slowdown = targetSlowdown
		began := time.Now()
		refusedAfter := make(chan time.Duration, 30)
		request := func() {
			r := Request{Class: "read", Priority: 2, MaxQueue: 500, ObjectiveDeadline: began.Add(objective), Deadline: began.Add(deadline)}
			slot, err := c.Acquire(context.Background(), r)
			if e, refused := result.As(err); refused {
				is.Equal(e.Code.Family(), result.FamilyDidNotRun)
				refusedAfter <- time.Since(began)
				return
			}
			time.Sleep(work)
			slot.Release()
		}
		// The requests are queued while the member seems fast.
		c.classState("read").serviceTime = time.Millisecond
		for range 21 {
			go request()
		}
		synctest.Wait()
		c.mu.Lock()
		c.classState("read").serviceTime = work
		c.mu.Unlock()
		time.Sleep(2 * deadline)
		synctest.Wait()
		close(refusedAfter)
		refused := 0
		for after := range refusedAfter {
			refused++
			is.True(after <= deadline/2)
		}
		is.True(refused >= 10)
	})
}

// A request is late by the time the slot becomes free, and seventeen that can still be in
// time arrive after it. All of those are served first: a longest-wait grant to the late
// request would make one of them late as well.
func TestLateWaiterTakesNoTurnOfOneInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(1)
		release := mustEnter(t, c, Request{Class: "read", Priority: 2})
		got := make(chan string, 2*longestWaitInterval+2)
		enterInBackground(c, Request{Class: "late", Priority: 1, ObjectiveDeadline: time.Now()}, got)
		time.Sleep(time.Millisecond)
		for range 2*longestWaitInterval + 1 {
			enterInBackground(c, Request{Class: "read", Priority: 2, ObjectiveDeadline: time.Now().Add(time.Second)}, got)
		}
		release()
		synctest.Wait()
		close(got)
		var order []string
		for class := range got {
			order = append(order, class)
		}
		is.New(t).Equal(slices.Index(order, "late"), 2*longestWaitInterval+1)
	})
}
