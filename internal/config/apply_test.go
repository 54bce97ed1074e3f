package config

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/inifile"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// withOrders runs a test on three instances that have version 1 of orders.
func withOrders(t *testing.T, test func(is *is.I, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stopAll()
		f.mustApply(f.instances[0], "orders", 2, 0)
		f.waitForVersion("orders", 1, 2*time.Second)
		test(is.New(t), f)
	})
}

// Eight operators edit the same version on different instances and apply at
// one moment. One is told that the change is accepted; each of the others is
// told which version stands and by whom.
func TestOperatorsRace(t *testing.T) {
	withOrders(t, func(is *is.I, f *testFleet) {
		outcomes := make([]Outcome, 8)
		var race sync.WaitGroup
		for i := range outcomes {
			race.Go(func() {
				n := f.instances[i%len(f.instances)]
				outcomes[i], _ = n.Apply(f.t.Context(), "orders", documentText("orders", 10+i), 1, string(rune('a'+i)))
			})
		}
		race.Wait()
		winner := -1
		for i, o := range outcomes {
			if o.State == Accepted {
				is.Equal(winner, -1)
				winner = i
			}
		}
		is.True(winner >= 0)
		for i, o := range outcomes {
			is.Equal(o.Version, int64(2))
			is.Equal(o.By, string(rune('a'+winner)))
			is.True(i == winner || o.State == NotAccepted)
		}
		f.waitForVersion("orders", 2, time.Second)
		a, _ := f.instances[0].Current("orders")
		is.Equal(a.Service.Groups[0].Slots, 10+winner)
	})
}

// The platform takes a change and its answer is lost. The operator is told
// that the change is accepted, because the stored document carries its ID.
func TestLostAnswerOfAChangeThatTookEffect(t *testing.T) {
	withOrders(t, func(is *is.I, f *testFleet) {
		f.instances[0].link.interceptPuts(1, loseAnswer)
		is.Equal(f.mustApply(f.instances[0], "orders", 3, 1).Version, int64(2))
		f.waitForVersion("orders", 2, time.Second)
	})
}

// The answer of a change that took effect is lost, and before the instance
// reads again, another operator has changed the document further. The first
// change was accepted all the same, and the history says so.
func TestLostAnswerThenOverwritten(t *testing.T) {
	withOrders(t, func(is *is.I, f *testFleet) {
		f.instances[0].link.interceptPuts(1, func(forward func() (platform.Object, error)) (platform.Object, error) {
			_, _ = forward()
			f.mustApply(f.instances[1], "orders", 9, 2)
			return platform.Object{}, platform.ErrOutcomeUnknown
		})
		o := f.mustApply(f.instances[0], "orders", 3, 1)
		is.Equal(o.Version, int64(2))
		f.waitForVersion("orders", 3, time.Second)
	})
}

// A change is lost before it reaches the platform, and another operator's is
// stored in its place. The first is told that it was not accepted.
func TestLostChangeIsSupersededByAnother(t *testing.T) {
	withOrders(t, func(is *is.I, f *testFleet) {
		f.instances[0].link.interceptPuts(1, func(func() (platform.Object, error)) (platform.Object, error) {
			f.mustApply(f.instances[1], "orders", 9, 1)
			return platform.Object{}, platform.ErrOutcomeUnknown
		})
		o, err := f.instances[0].Apply(f.t.Context(), "orders", documentText("orders", 3), 1, "bia")
		is.NoErr(err)
		is.Equal(o.State, NotAccepted)
		is.Equal(o.Version, int64(2))
		is.Equal(o.By, "ana")
	})
}

// A change is lost on its way, twice. It is sent again under the same
// condition and takes effect once.
func TestLostChangeIsSentAgain(t *testing.T) {
	withOrders(t, func(is *is.I, f *testFleet) {
		f.instances[0].link.interceptPuts(2, loseRequest)
		is.Equal(f.mustApply(f.instances[0], "orders", 3, 1).Version, int64(2))
		f.waitForVersion("orders", 2, time.Second)
	})
}

// The platform cannot be reached. Nothing was sent, so the operator is told at
// once that the change did not take effect.
func TestApplyDuringOutage(t *testing.T) {
	withOrders(t, func(is *is.I, f *testFleet) {
		f.platform.SetFaults(standin.Faults{Outage: true})
		start := time.Now()
		o, err := f.instances[0].Apply(f.t.Context(), "orders", documentText("orders", 3), 1, "ana")
		is.NoErr(err)
		is.Equal(o.State, NoEffect)
		is.True(time.Since(start) < time.Second)
		f.platform.SetFaults(standin.Faults{})
		time.Sleep(20 * time.Second)
		is.Equal(f.versions("orders"), []int64{1, 1, 1})
	})
}

// The answer of a change is lost and the platform goes down before it can be
// read again. The operator is told that the outcome is unknown and still
// settling; after the outage the change is found to have taken effect.
func TestSettlingEndsInAccepted(t *testing.T) {
	withOrders(t, func(is *is.I, f *testFleet) {
		f.instances[0].link.interceptPuts(1, func(forward func() (platform.Object, error)) (platform.Object, error) {
			defer f.platform.SetFaults(standin.Faults{Outage: true})
			return loseAnswer(forward)
		})
		o, err := f.instances[0].Apply(f.t.Context(), "orders", documentText("orders", 3), 1, "ana")
		is.NoErr(err)
		is.Equal(o.State, Settling)
		time.Sleep(time.Minute)
		_, known := f.instances[0].Settled(o.ChangeID)
		is.True(!known)
		f.platform.SetFaults(standin.Faults{})
		f.waitForVersion("orders", 2, 10*time.Second)
		time.Sleep(2 * settleInterval)
		settled, known := f.instances[0].Settled(o.ChangeID)
		is.True(known)
		is.Equal(settled.State, Accepted)
		is.Equal(settled.Version, int64(2))
	})
}

// A change hangs on its way and the operator goes away unanswered. Later it
// is settled as without effect, and from then on it must not take effect even
// when the delayed update arrives at the platform at last.
func TestSettledWithoutEffectStaysWithoutEffect(t *testing.T) {
	withOrders(t, func(is *is.I, f *testFleet) {
		var deliver func() (platform.Object, error)
		ctx, cancelApply := context.WithCancel(f.t.Context())
		f.instances[0].link.interceptPuts(1, func(forward func() (platform.Object, error)) (platform.Object, error) {
			deliver = forward
			cancelApply()
			return platform.Object{}, platform.ErrOutcomeUnknown
		})
		o, err := f.instances[0].Apply(ctx, "orders", documentText("orders", 3), 1, "ana")
		is.NoErr(err)
		is.Equal(o.State, Settling)
		time.Sleep(10 * time.Second)
		settled, known := f.instances[0].Settled(o.ChangeID)
		is.True(known)
		is.Equal(settled.State, NoEffect)
		_, err = deliver()
		is.True(errors.Is(err, platform.ErrConflict))
		time.Sleep(10 * time.Second)
		is.Equal(f.versions("orders"), []int64{1, 1, 1})
	})
}

// The same happens to the first version of a document, where there is nothing
// yet that could be stored once more.
func TestSettledWithoutEffectBeforeTheFirstVersion(t *testing.T) {
	withOrders(t, func(is *is.I, f *testFleet) {
		var deliver func() (platform.Object, error)
		ctx, cancelApply := context.WithCancel(f.t.Context())
		f.instances[0].link.interceptPuts(1, func(forward func() (platform.Object, error)) (platform.Object, error) {
			deliver = forward
			cancelApply()
			return platform.Object{}, platform.ErrOutcomeUnknown
		})
		o, _ := f.instances[0].Apply(ctx, "stock", documentText("stock", 3), 0, "ana")
		is.Equal(o.State, Settling)
		time.Sleep(10 * time.Second)
		settled, _ := f.instances[0].Settled(o.ChangeID)
		is.Equal(settled.State, NoEffect)
		_, err := deliver()
		is.True(errors.Is(err, platform.ErrConflict))
		_, err = f.instances[1].Newest(f.t.Context(), "stock")
		e, _ := result.As(err)
		is.Equal(e.Code, result.NotFound)
		is.Equal(f.mustApply(f.instances[1], "stock", 4, 0).Version, int64(1))
		f.waitForVersion("stock", 1, time.Second)
	})
}

func TestApplyRefusesWhatIsNotValid(t *testing.T) {
	withOrders(t, func(is *is.I, f *testFleet) {
		for _, bad := range []string{"[service]\nname = orders\n", documentText("stock", 2), ""} {
			_, err := f.instances[0].Apply(f.t.Context(), "orders", bad, 1, "ana")
			e, ok := result.As(err)
			is.True(ok)
			is.Equal(e.Code, result.DocumentInvalid)
		}
		_, err := f.instances[0].Apply(f.t.Context(), "orders", "[service]\n", 1, "ana")
		var problems inifile.Problems
		is.True(errors.As(err, &problems))
		_, err = f.instances[0].Apply(f.t.Context(), "no/name", documentText("orders", 2), 1, "ana")
		e, _ := result.As(err)
		is.Equal(e.Code, result.BadAdminRequest)
	})
}

func TestHistory(t *testing.T) {
	withOrders(t, func(is *is.I, f *testFleet) {
		for v := int64(1); v < maxHistory+10; v++ {
			f.mustApply(f.instances[int(v)%3], "orders", 2, v)
		}
		changes, err := f.instances[1].History(f.t.Context(), "orders")
		is.NoErr(err)
		is.Equal(len(changes), maxHistory+1)
		for i, c := range changes {
			is.Equal(c.Version, int64(maxHistory+10-i))
			is.Equal(c.By, "ana")
		}
	})
}
