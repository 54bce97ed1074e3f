package executor

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
)

// Guards against a drain that ends while a peer's statement in an open transaction is running,
// because no unit of a peer was running when new ones were first refused.
func TestDrainWaitsForATransactionUnitAfterTheRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := NewRouter("self", "self:1", nil, nil, clock.System{}, NewMetrics(prometheus.NewRegistry()))
		r.RefusePeerUnits()
		is.True(r.beginPeerUnit(&execution.Unit{Transaction: "self/g/1"}))
		time.AfterFunc(300*time.Millisecond, r.finishPeerUnit)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		is.NoErr(r.Drain(ctx))
		took := time.Since(began)
		is.True(took >= 300*time.Millisecond)
		is.True(took <= 300*time.Millisecond+2*pollInterval)
	})
}

// Guards against units that other homes pass on to a home that refuses them: each costs its
// caller one of two tries, and a home that is asked again reports again that it can serve.
func TestHomeThatRefusesPeersReportsThatItCannotServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
		r := NewRouter("self", "self:1", nil, nil, clock.System{}, NewMetrics(prometheus.NewRegistry()))
		r.AddGroup(g)
		raw, err := json.Marshal(objectRef{Group: "g"})
		is.NoErr(err)
		before, err := r.serveCapability(t.Context(), "", raw)
		is.NoErr(err)
		is.Equal(before, capability{Writes: true, Reads: true})
		r.RefusePeerUnits()
		after, err := r.serveCapability(t.Context(), "", raw)
		is.NoErr(err)
		is.Equal(after, capability{})
	})
}
