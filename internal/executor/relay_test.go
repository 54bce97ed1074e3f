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

// relayHome is another home of the group: what it does with a unit that is passed on.
type relayHome struct {
	// pieces are sent ahead of the end.
	pieces []string
	answer string
	err    error
	taken  int
}

// relayNet is the router's homes and its way to them. Every home says that it serves.
type relayNet struct {
	router *Router
	order  []string
	homes  map[string]*relayHome
	// ids are those of the units that were passed on, in order.
	ids []string
	// cancelled takes the cancel requests that reach homes.
	cancelled chan string
	// unmarked says that a unit came without the mark that keeps it from being passed on
	// again.
	unmarked bool
	// late is called when a unit has arrived at a home; nil does nothing.
	late func()
}

// Homes implements Homes.
func (n *relayNet) Homes(string) []platform.Instance {
	all := []platform.Instance{{ID: "self"}}
	for _, id := range n.order {
		all = append(all, platform.Instance{ID: id, PeerAddress: id})
	}
	return all
}

// FindInstance implements Homes.
func (n *relayNet) FindInstance(id string) (platform.Instance, bool) {
	return platform.Instance{ID: id, PeerAddress: id}, n.homes[id] != nil
}

// Call implements peer.Caller.
func (n *relayNet) Call(_ context.Context, address, method string, params, reply any) error {
	switch method {
	case methodStanding:
		*reply.(*standing) = standing{Writes: true, Reads: true}
		return nil
	case methodCancel:
		n.cancelled <- address + " " + params.(reference).ID
		return nil
	}
	h, u := n.homes[address], params.(*execution.Unit)
	h.taken++
	n.unmarked = n.unmarked || !u.Relayed
	n.ids = append(n.ids, u.ID)
	if n.late != nil {
		n.late()
	}
	for _, p := range h.pieces {
		raw, err := json.Marshal(piece{ID: u.ID, Bytes: []byte(p)})
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
func relayed(t *testing.T, u *execution.Unit, homes map[string]*relayHome, order ...string) (string, *execution.Reply, error) {
	t.Helper()
	return (&relayNet{homes: homes, order: order}).run(u)
}

func (n *relayNet) run(u *execution.Unit) (string, *execution.Reply, error) {
	g, s := scriptedGroup(&scripted{}, &scripted{}, &scripted{})
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

// relayRead is a read of a class that may be an hour old.
func relayRead() *execution.Unit {
	return &execution.Unit{ID: "u", Group: "g", Class: "aged", Timeout: 3 * time.Second, ReadOnly: true, Messages: []byte("read")}
}

// An instance that reaches no member passes a read on. The home sends half of a large
// answer and is lost. The caller has that half: another home's answer behind it would
// be taken for the rest of the first, so that the read ends with an error.
func TestHalfAnAnswerIsNotContinuedByAnotherHome(t *testing.T) {
	for _, order := range [][]string{{"h1", "h2"}, {"h2", "h1"}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			broken := func() *relayHome { return &relayHome{pieces: []string{"half;"}, err: errors.New("connection lost")} }
			homes := map[string]*relayHome{"h1": broken(), "h2": broken()}
			seen, _, err := relayed(t, relayRead(), homes, order...)
			e, ok := result.As(err)
			is.True(ok)
			is.Equal(e.Code, result.PeerLost)
			is.Equal(seen, "half;")
			is.Equal(homes["h1"].taken+homes["h2"].taken, 1)
		})
	}
}

// Both homes that a read was passed on to are lost with it. It may have run there, so
// that the caller must not be told that it did not.
func TestReadThatMayHaveRunElsewhereIsNotCalledRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		homes := map[string]*relayHome{"h1": {err: errors.New("connection lost")}, "h2": {err: errors.New("connection lost")}}
		_, _, err := relayed(t, relayRead(), homes, "h1", "h2")
		e, ok := result.As(err)
		is.True(ok)
		is.Equal(e.Code, result.PeerLost)
		is.Equal(homes["h1"].taken+homes["h2"].taken, 2)
	})
}

// One home is lost with a read before it answered anything; the other one answers. The
// caller sees one whole answer.
func TestReadGoesOnToASecondHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		homes := map[string]*relayHome{"h1": {err: errors.New("connection lost")}, "h2": {answer: "rows"}}
		for range 8 {
			_, reply, err := relayed(t, relayRead(), homes, "h1", "h2")
			is.NoErr(err)
			is.Equal(string(reply.Messages), "rows")
		}
		is.True(homes["h1"].taken > 0)
	})
}

// The connection to the first home breaks; the home lives, and sends a piece of its answer
// when the read is at the second one. The piece is not taken for the second home's.
func TestLatePieceOfTheFirstHomeIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &relayNet{order: []string{"h1", "h2"},
			homes: map[string]*relayHome{"h1": {err: errors.New("connection lost")}, "h2": {err: errors.New("connection lost")}}}
		n.late = func() {
			if len(n.ids) < 2 {
				return
			}
			raw, err := json.Marshal(piece{ID: n.ids[0], Bytes: []byte("late;")})
			is.NoErr(err)
			_, err = n.router.servePartial(context.Background(), "", raw)
			is.True(err != nil)
		}
		seen, _, _ := n.run(relayRead())
		is.Equal(len(n.ids), 2)
		is.Equal(seen, "")
	})
}

// A write that left this instance is not passed on again, whatever became of it; one
// that did not leave is.
func TestWriteIsPassedOnOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		write := func() *execution.Unit {
			return &execution.Unit{ID: "u", Group: "g", Timeout: 3 * time.Second, Messages: []byte("write")}
		}
		lost := map[string]*relayHome{"h1": {err: errors.New("connection lost")}, "h2": {err: errors.New("connection lost")}}
		_, _, err := relayed(t, write(), lost, "h1", "h2")
		e, ok := result.As(err)
		is.True(ok)
		is.Equal(e.Code, result.PeerLost)
		is.Equal(lost["h1"].taken+lost["h2"].taken, 1)
		unsent := map[string]*relayHome{"h1": {err: peer.ErrNotSent}, "h2": {answer: "done"}}
		for range 8 {
			_, reply, err := relayed(t, write(), unsent, "h1", "h2")
			is.NoErr(err)
			is.Equal(string(reply.Messages), "done")
		}
	})
}

// A caller cancels its statement while it is at work at another home, which knows it by
// another ID. The home is told to stop it; without that it would run on to its timeout.
func TestCancelReachesTheHomeOfARelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &relayNet{order: []string{"h1"}, homes: map[string]*relayHome{"h1": {answer: "rows"}}, cancelled: make(chan string, 2)}
		n.late = func() {
			n.router.Cancel("g", "u")
			is.Equal(<-n.cancelled, "h1 u"+relaySeparator+"1")
		}
		_, _, err := n.run(relayRead())
		is.NoErr(err)
		n.router.Cancel("g", "u")
		synctest.Wait()
		is.Equal(len(n.cancelled), 0)
	})
}

// Two instances each think that the other one serves. A unit that was passed on carries a
// mark, and who gets one with the mark and cannot serve it refuses it: it would else go
// to and fro until its time is over.
func TestUnitThatWasPassedOnIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &relayNet{order: []string{"h1"}, homes: map[string]*relayHome{"h1": {answer: "rows"}}}
		_, _, err := n.run(relayRead())
		is.NoErr(err)
		is.True(!n.unmarked)
		again := relayRead()
		again.Relayed = true
		_, _, err = n.run(again)
		e, ok := result.As(err)
		is.True(ok)
		is.Equal(e.Code.Family(), result.FamilyDidNotRun)
		is.Equal(n.homes["h1"].taken, 1)
	})
}

// The primary is out of reach here, and another home reaches it. A write that came while
// the group may still be replacing its primary does not wait that time out: it goes to
// the home as soon as that is known.
func TestWriteDoesNotWaitForAPrimaryThatIsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &relayNet{order: []string{"h1"}, homes: map[string]*relayHome{"h1": {answer: "done"}}}
		began := time.Now()
		_, reply, err := n.run(&execution.Unit{ID: "u", Group: "g", Timeout: 3 * time.Second, Messages: []byte("write")})
		is.NoErr(err)
		is.Equal(string(reply.Messages), "done")
		is.True(time.Since(began) < failoverWait/4)
	})
}
