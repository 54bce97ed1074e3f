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

// withOrders runs a test with three instances that have version 1 of the
// document orders.
func withOrders(t *testing.T, test func(is *is.I, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stopAll()
		f.mustApply(f.instances[0], "orders", 2, 0)
		f.waitForVersion("orders", 1, 2*time.Second)
		test(is.New(t), f)
	})
}

// Eight operators concurrently apply different edits of the same version on
// different instances. Exactly one change is accepted; the other operators
// learn the stored version and its author.
func TestOperatorsRace(t *testing.T) {
	withOrders(t, func(is *is.I, f *testFleet) {
		outcomes := make([]Outcome, 8)
		var wg sync.WaitGroup
		for i := range outcomes {
			wg.Go(func() {
				n := f.instances[i%len(f.instances)]
				outcomes[i], _ = n.Apply(f.t.Context(), "orders", documentText("orders", 10+i), 1, string(rune('a'+i)))
			})
		}
		wg.Wait()
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

// The platform stores a change and its answer is lost. The change is reported
// as accepted because the stored document contains its ID.
func TestLostAnswerOfAChangeThatTookEffect(t *testing.T) {
	withOrders(t, func(is *is.I, f *testFleet) {
		f.instances[0].link.interceptPuts(1, loseAnswer)
		is.Equal(f.mustApply(f.instances[0], "orders", 3, 1).Version, int64(2))
		f.waitForVersion("orders", 2, time.Second)
	})
}

// The answer to a change that took effect is lost, and another operator changes
// the document again before the instance reads it. The first change is still
// reported as accepted, because the history contains it.
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

// A change is lost before it reaches the platform, and another operator's
// change is stored instead. The first is reported as not accepted.
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

// A change is lost twice in transit. It is sent again under the same condition
// and takes effect once.
func TestLostChangeIsSentAgain(t *testing.T) {
	withOrders(t, func(is *is.I, f *testFleet) {
		f.instances[0].link.interceptPuts(2, loseRequest)
		is.Equal(f.mustApply(f.instances[0], "orders", 3, 1).Version, int64(2))
		f.waitForVersion("orders", 2, time.Second)
	})
}

// The platform is unreachable. Nothing was sent, so the change is reported
// immediately as without effect.
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

// The answer to a change is lost and the platform goes down before the document
// can be read again. The outcome is reported as unknown and still settling;
// after the outage the change is found to have taken effect.
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
		_, known := f.instances[0].SettledOutcome(o.ChangeID)
		is.True(!known)
		f.platform.SetFaults(standin.Faults{})
		f.waitForVersion("orders", 2, 10*time.Second)
		time.Sleep(2 * settleInterval)
		settled, known := f.instances[0].SettledOutcome(o.ChangeID)
		is.True(known)
		is.Equal(settled.State, Accepted)
		is.Equal(settled.Version, int64(2))
	})
}

// A change is delayed in transit and the operator disconnects. The change is
// later settled as without effect. From then on it must not take effect, even
// when the delayed update reaches the platform.
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
		settled, known := f.instances[0].SettledOutcome(o.ChangeID)
		is.True(known)
		is.Equal(settled.State, NoEffect)
		_, err = deliver()
		is.True(errors.Is(err, platform.ErrConflict))
		time.Sleep(10 * time.Second)
		is.Equal(f.versions("orders"), []int64{1, 1, 1})
	})
}

// The same failure with the first version of a document, for which there is no
// stored object that could be stored again.
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
		settled, _ := f.instances[0].SettledOutcome(o.ChangeID)
		is.Equal(settled.State, NoEffect)
		_, err := deliver()
		is.True(errors.Is(err, platform.ErrConflict))
		_, err = f.instances[1].Highest(f.t.Context(), "stock")
		e, _ := result.As(err)
		is.Equal(e.Code, result.NotFound)
		is.Equal(f.mustApply(f.instances[1], "stock", 4, 0).Version, int64(1))
		f.waitForVersion("stock", 1, time.Second)
	})
}

func TestApplyRejectsInvalidDocuments(t *testing.T) {
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
