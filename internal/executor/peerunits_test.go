package executor

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
)

// fullGate is a gate whose slots are all in use.
type fullGate struct{}

// Acquire implements admission.Gate.
func (fullGate) Acquire(ctx context.Context, _ admission.Request) (*admission.Slot, error) {
	<-ctx.Done()
	return nil, result.New(result.QueueTimeout, "no slot")
}

// Guards against a unit of a peer that stays queued at a home until the home's process ends: its
// caller would be told that the outcome is unknown, and no other home would be asked.
func TestQueuedPeerUnitIsRefusedWhenUnitsAreInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
		g.Gate = fullGate{}
		peers := &fakeRelayPeers{}
		r := NewRouter("self", "self:1", peers, peers, clock.System{}, NewMetrics(prometheus.NewRegistry()))
		r.AddGroup(g)
		u := newRelayRead()
		u.Forwarded = true
		raw, err := json.Marshal(u)
		is.NoErr(err)
		refusals := make(chan error, 1)
		go func() {
			_, err := r.serveExecute(t.Context(), "entry", raw)
			refusals <- err
		}()
		synctest.Wait()
		interrupted := time.Now()
		r.InterruptUnits()
		e, ok := result.As(<-refusals)
		is.True(ok)
		is.Equal(e.Code, result.Draining)
		is.Equal(time.Since(interrupted), time.Duration(0))
	})
}

// A home that a write was passed on to is shutting down and refuses it. Guards against a refusal
// for the caller while another home can run the write, and against a write that is sent again
// after it may have run.
func TestWriteRefusedByADrainingHomeIsRelayedToTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		write := func() *execution.Unit {
			return &execution.Unit{ID: "u", Group: "g", Timeout: 3 * time.Second, Messages: []byte("write")}
		}
		for range 8 {
			homes := map[string]*fakeRelayHome{"h1": {err: result.New(result.Draining, "instance h1")}, "h2": {answer: "done"}}
			_, reply, err := relayThrough(t, write(), homes, "h1", "h2")
			is.NoErr(err)
			is.Equal(string(reply.Messages), "done")
		}
		lost := map[string]*fakeRelayHome{"h1": {err: errors.New("connection lost")}, "h2": {err: errors.New("connection lost")}}
		_, _, err := relayThrough(t, write(), lost, "h1", "h2")
		is.True(err != nil)
		is.Equal(lost["h1"].units+lost["h2"].units, 1)
	})
}

// Every home that a unit is passed on to is shutting down. Guards against an instance that returns
// their refusal as its own: the instances that forward units to it would avoid it as well.
func TestRefusalByADrainingHomeIsNotReturnedAsTheOwn(t *testing.T) {
	for _, refusal := range []result.Code{result.Draining, result.NotReady} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			homes := map[string]*fakeRelayHome{"h1": {err: result.New(refusal, "h1")}, "h2": {err: result.New(refusal, "h2")}}
			write := &execution.Unit{ID: "u", Group: "g", Timeout: 3 * time.Second, Messages: []byte("write")}
			_, _, err := relayThrough(t, write, homes, "h1", "h2")
			e, ok := result.As(err)
			is.True(ok)
			is.Equal(e.Code, result.NoPrimary)
			is.True(homes["h1"].units+homes["h2"].units > 0)
		})
	}
}
