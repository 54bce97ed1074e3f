package executor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/upstream"
)

// A caller cancels its statement, which ends by itself just before the cancel request reaches
// the member. If the connection were reused, the request would cancel the next caller's
// statement.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	r := newRunningUnits()
	cancelled := upstream.NewConn("a", time.Time{}, nil, nil)
	r.addUnit("u1", cancelled, time.Time{})
	is.Equal(r.claimCancel("u1"), cancelled)
	r.removeUnit("u1", cancelled, time.Time{}, true)
	is.True(!cancelled.Reusable())

	finished := upstream.NewConn("a", time.Time{}, nil, nil)
	r.addUnit("u2", finished, time.Time{})
	r.removeUnit("u2", finished, time.Time{}, true)
	is.True(r.claimCancel("u2") == nil)
	is.True(finished.Reusable())
	is.Equal(r.loadOf("a"), 0)
}

// Guards against sending a statement to a member after the instance has ended all units: the
// caller's connection is closed before the member answers.
func TestUnitIsNotSentAfterEndUnits(t *testing.T) {
	for _, class := range []string{"aged", ""} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g, cluster := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
			r := NewRouter("i", "i:1", nil, nil, clock.System{}, NewMetrics(prometheus.NewRegistry()))
			r.AddGroup(g)
			cluster.onAcquire = r.InterruptUnits
			u := &execution.Unit{ID: "u", Group: "g", Class: class, Timeout: time.Second, ReadOnly: class != ""}
			_, err := g.Execute(t.Context(), u, func([]byte) error { return nil })
			e, ok := result.As(err)
			is.True(ok)
			is.Equal(e.Code, result.Draining)
			is.Equal(cluster.statementsAt("p")+cluster.statementsAt("r1")+cluster.statementsAt("r2"), 0)
			is.Equal(len(cluster.reportedFailed), 0)
		})
	}
}
