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

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// fakeRelayHome is another home of the group: what it does with a unit that is passed on.
type fakeRelayHome struct {
	// pieces are sent ahead of the end.
	chunks []string
	answer string
	err    error
	units  int
}

// fakeRelayPeers is the router's homes and its way to them. Every home says that it serves.
type fakeRelayPeers struct {
	router *Router
	order  []string
	homes  map[string]*fakeRelayHome
	// ids are those of the units that were passed on, in order.
	unitIDs []string
	// cancelled takes the cancel requests that reach homes.
	cancelled chan string
	// unmarked says that a unit came without the mark that keeps it from being passed on
	// again.
	sawUnmarkedUnit bool
	// late is called when a unit has arrived at a home; nil does nothing.
	onUnit func()
}

// Homes implements Homes.
func (n *fakeRelayPeers) Homes(string) []platform.Instance {
	all := []platform.Instance{{ID: "self"}}
	for _, id := range n.order {
		all = append(all, platform.Instance{ID: id, PeerAddress: id})
	}
	return all
}

// FindInstance implements Homes.
func (n *fakeRelayPeers) FindInstance(id string) (platform.Instance, bool) {
	return platform.Instance{ID: id, PeerAddress: id}, n.homes[id] != nil
}

// Call implements peer.Caller.
func (n *fakeRelayPeers) Call(_ context.Context, address, method string, params, reply any) error {
	switch method {
	case methodCapability:
		*reply.(*capability) = capability{Writes: true, Reads: true}
		return nil
	case methodCancel:
		n.cancelled <- address + " " + params.(objectRef).ID
		return nil
	}
	h, u := n.homes[address], params.(*execution.Unit)
	h.units++
	n.sawUnmarkedUnit = n.sawUnmarkedUnit || !u.Relayed
	n.unitIDs = append(n.unitIDs, u.ID)
	if n.onUnit != nil {
		n.onUnit()
	}
	for _, p := range h.chunks {
		raw, err := json.Marshal(answerChunk{ID: u.ID, Bytes: []byte(p)})
		if err != nil {
			return err
		}
		if _, err := n.router.servePartial(context.Background(), "", raw); err != nil {
			return err
		}
	}
	if h.err != nil {
		return h.err
	}
	reply.(*execution.Reply).Messages = []byte(h.answer)
	return nil
}

// relayed runs a unit at an instance that reaches no member, beside other homes, and
// returns what the caller got ahead of the reply.
func relayThrough(t *testing.T, u *execution.Unit, homes map[string]*fakeRelayHome, order ...string) (string, *execution.Reply, error) {
	t.Helper()
	return (&fakeRelayPeers{homes: homes, order: order}).relayUnit(u)
}

func (n *fakeRelayPeers) relayUnit(u *execution.Unit) (string, *execution.Reply, error) {
	g, s := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
	s.snapshot.Primary = ""
	for i := range s.snapshot.Members {
		s.snapshot.Members[i].Failing = time.Now()
	}
	n.router = NewRouter("self", "self:1", n, n, clock.System{}, NewMetrics(prometheus.NewRegistry()))
	n.router.Add(g)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.homeFinder.run(ctx)
	}()
	var seen []byte
	reply, err := n.router.Execute(ctx, u, func(p []byte) error {
		seen = append(seen, p...)
		return nil
	})
	cancel()
	<-ended
	return string(seen), reply, err
}

// newRelayRead is a read of a class that may be an hour old.
func newRelayRead() *execution.Unit {
	return &execution.Unit{ID: "u", Group: "g", Class: "aged", Timeout: 3 * time.Second, ReadOnly: true, Messages: []byte("read")}
}

// An instance that reaches no member passes a read on. The home sends half of a large
// answer and is lost. The caller has that half: another home's answer behind it would
// be taken for the rest of the first, so that the read ends with an error.
func TestPartialAnswerIsNotContinuedByAnotherHome(t *testing.T) {
	for _, order := range [][]string{{"h1", "h2"}, {"h2", "h1"}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			broken := func() *fakeRelayHome {
				return &fakeRelayHome{chunks: []string{"half;"}, err: errors.New("connection lost")}
			}
			homes := map[string]*fakeRelayHome{"h1": broken(), "h2": broken()}
			seen, _, err := relayThrough(t, newRelayRead(), homes, order...)
			e, ok := result.As(err)
			is.True(ok)
			is.Equal(e.Code, result.PeerLost)
			is.Equal(seen, "half;")
			is.Equal(homes["h1"].units+homes["h2"].units, 1)
		})
	}
}

// Both homes that a read was passed on to are lost with it. It may have run there, so
// that the caller must not be told that it did not.
func TestReadThatMayHaveRunElsewhereIsNotReportedRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		homes := map[string]*fakeRelayHome{"h1": {err: errors.New("connection lost")}, "h2": {err: errors.New("connection lost")}}
		_, _, err := relayThrough(t, newRelayRead(), homes, "h1", "h2")
		e, ok := result.As(err)
		is.True(ok)
		is.Equal(e.Code, result.PeerLost)
		is.Equal(homes["h1"].units+homes["h2"].units, 2)
	})
}

// One home is lost with a read before it answered anything; the other one answers. The
// caller sees one whole answer.
func TestReadIsRelayedToSecondHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		homes := map[string]*fakeRelayHome{"h1": {err: errors.New("connection lost")}, "h2": {answer: "rows"}}
		for range 8 {
			_, reply, err := relayThrough(t, newRelayRead(), homes, "h1", "h2")
			is.NoErr(err)
			is.Equal(string(reply.Messages), "rows")
		}
		is.True(homes["h1"].units > 0)
	})
}

// The connection to the first home breaks; the home lives, and sends a piece of its answer
// when the read is at the second one. The piece is not taken for the second home's.
func TestLateChunkOfFirstHomeIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &fakeRelayPeers{order: []string{"h1", "h2"},
			homes: map[string]*fakeRelayHome{"h1": {err: errors.New("connection lost")}, "h2": {err: errors.New("connection lost")}}}
		n.onUnit = func() {
			if len(n.unitIDs) < 2 {
				return
			}
			raw, err := json.Marshal(answerChunk{ID: n.unitIDs[0], Bytes: []byte("late;")})
			is.NoErr(err)
			_, err = n.router.servePartial(context.Background(), "", raw)
			is.True(err != nil)
		}
		seen, _, _ := n.relayUnit(newRelayRead())
		is.Equal(len(n.unitIDs), 2)
		is.Equal(seen, "")
	})
}

// A write that left this instance is not passed on again, whatever became of it; one
// that did not leave is.
func TestSentWriteIsRelayedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		write := func() *execution.Unit {
			return &execution.Unit{ID: "u", Group: "g", Timeout: 3 * time.Second, Messages: []byte("write")}
		}
		lost := map[string]*fakeRelayHome{"h1": {err: errors.New("connection lost")}, "h2": {err: errors.New("connection lost")}}
		_, _, err := relayThrough(t, write(), lost, "h1", "h2")
		e, ok := result.As(err)
		is.True(ok)
		is.Equal(e.Code, result.PeerLost)
		is.Equal(lost["h1"].units+lost["h2"].units, 1)
		unsent := map[string]*fakeRelayHome{"h1": {err: peer.ErrNotSent}, "h2": {answer: "done"}}
		for range 8 {
			_, reply, err := relayThrough(t, write(), unsent, "h1", "h2")
			is.NoErr(err)
			is.Equal(string(reply.Messages), "done")
		}
	})
}

// A caller cancels its statement while it is at work at another home, which knows it by
// another ID. The home is told to stop it; without that it would run on to its timeout.
func TestCancelReachesRelayHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &fakeRelayPeers{order: []string{"h1"}, homes: map[string]*fakeRelayHome{"h1": {answer: "rows"}}, cancelled: make(chan string, 2)}
		n.onUnit = func() {
			n.router.Cancel("g", "u")
			is.Equal(<-n.cancelled, "h1 u"+relaySeparator+"1")
		}
		_, _, err := n.relayUnit(newRelayRead())
		is.NoErr(err)
		n.router.Cancel("g", "u")
		synctest.Wait()
		is.Equal(len(n.cancelled), 0)
	})
}

// Two instances each think that the other one serves. A unit that was passed on carries a
// mark, and who gets one with the mark and cannot serve it refuses it: it would else go
// to and fro until its time is over.
func TestRelayedUnitIsNotRelayedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &fakeRelayPeers{order: []string{"h1"}, homes: map[string]*fakeRelayHome{"h1": {answer: "rows"}}}
		_, _, err := n.relayUnit(newRelayRead())
		is.NoErr(err)
		is.True(!n.sawUnmarkedUnit)
		again := newRelayRead()
		again.Relayed = true
		_, _, err = n.relayUnit(again)
		e, ok := result.As(err)
		is.True(ok)
		is.Equal(e.Code.Family(), result.FamilyDidNotRun)
		is.Equal(n.homes["h1"].units, 1)
	})
}

// The primary is out of reach here, and another home reaches it. A write that came while
// the group may still be replacing its primary does not wait that time out: it goes to
// the home as soon as that is known.
func TestWriteDoesNotWaitWhenAnotherHomeHasPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &fakeRelayPeers{order: []string{"h1"}, homes: map[string]*fakeRelayHome{"h1": {answer: "done"}}}
		began := time.Now()
		_, reply, err := n.relayUnit(&execution.Unit{ID: "u", Group: "g", Timeout: 3 * time.Second, Messages: []byte("write")})
		is.NoErr(err)
		is.Equal(string(reply.Messages), "done")
		is.True(time.Since(began) < failoverWait/4)
	})
}
