package executor

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/wire"
)

// usualWork is what a statement takes at the members of these tests.
const usualWork = 30 * time.Millisecond

// readsAtOnce sends reads side by side and returns how long the last one took.
func readsAtOnce(t *testing.T, g *Group, n int) time.Duration {
	began := time.Now()
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			if _, _, err := readOnce(t, g); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	return time.Since(began)
}

// Guards against a queue that outlives the time in which replicas lacked what reads asked for, or
// were full: they refuse at once, which is no measure of how long a statement takes.
func TestMemberThatRefusedIsUsedInFullAgain(t *testing.T) {
	for _, kind := range []wire.FailureKind{wire.FailureBehind, wire.FailureBusy} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p, r1, r2 := &scripted{after: usualWork}, &scripted{after: usualWork}, &scripted{after: usualWork}
			g, s := scriptedGroup(p, r1, r2)
			for range 40 {
				readsAtOnce(t, g, 2)
			}
			refuse := func(f *wire.Failure, after time.Duration) {
				s.mu.Lock()
				defer s.mu.Unlock()
				for _, r := range []*scripted{r1, r2} {
					r.failure, r.after = f, after
				}
			}
			refuse(&wire.Failure{Kind: kind}, time.Millisecond)
			for range 100 {
				_, _, _ = readOnce(t, g)
				time.Sleep(behindFor)
			}
			refuse(nil, usualWork)
			time.Sleep(time.Second)
			for range 10 {
				// Twice two replicas' slots.
				is.True(readsAtOnce(t, g, 8) <= 2*usualWork)
			}
		})
	}
}
