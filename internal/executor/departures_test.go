package executor

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

// leaveAfter is when callers leave in these tests; unitTime is how long members work on a unit.
const (
	leaveAfter = 50 * time.Millisecond
	unitTime   = 400 * time.Millisecond
)

// leavingContext returns the context of a unit whose caller leaves after leaveAfter.
func leavingContext(t *testing.T) context.Context {
	ctx, departure, release := execution.WithDeparture(t.Context(), "")
	time.AfterFunc(leaveAfter, func() { departure.Leave() })
	time.AfterFunc(time.Minute, release)
	return ctx
}

// singleSlotGroup is a group whose members take unitTime and have one slot each.
func singleSlotGroup() (*Group, *fakeCluster) {
	slow := func() *fakeMember { return &fakeMember{delay: unitTime} }
	g, cluster := newFakeGroup(slow(), slow(), slow())
	g.Gate = admission.NewPerMember(admission.Config{Group: "g", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 1)), Slots: 1})
	g.Tracker, g.Pool = slowlyConfirmed{cluster}, slowlyConfirmed{cluster}
	return g, cluster
}

func newWrite(id string) *execution.Unit {
	return &execution.Unit{ID: id, Group: "g", Timeout: 5 * time.Second, Messages: []byte("write")}
}

// sent returns the number of statements that reached members.
func (c *fakeCluster) sent() int {
	return c.statementsAt("p") + c.statementsAt("r1") + c.statementsAt("r2")
}

// Guards against a unit that is sent, or keeps its slot, although its caller left while it waited.
func TestUnitThatWaitsForASlotIsNotSentAfterItsCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, cluster := singleSlotGroup()
		go func() { _, _ = g.Execute(t.Context(), newWrite("first"), nil) }()
		synctest.Wait()
		start := time.Now()
		_, err := g.Execute(leavingContext(t), newWrite("second"), nil)
		is.True(callerLeft(err))
		is.Equal(time.Since(start), leaveAfter)
		is.Equal(g.Gate.(*admission.PerMember).Waiting("p"), 0)
		time.Sleep(unitTime)
		is.Equal(cluster.sent(), 1)
		is.Equal(len(cluster.reportedFailed), 0)
		_, err = g.Execute(t.Context(), newWrite("third"), nil)
		is.NoErr(err)
	})
}

// slowlyConfirmed is a cluster whose members commit at once, and whose commits are confirmed after
// unitTime.
type slowlyConfirmed struct{ *fakeCluster }

// ConfirmCommit implements group.Tracker.
func (slowlyConfirmed) ConfirmCommit(ctx context.Context, _ logpos.TermPosition) error {
	return clock.Sleep(ctx, clock.System{}, unitTime)
}

// RecordAnswer implements group.Tracker.
func (slowlyConfirmed) RecordAnswer(string, group.Ticket, group.StatementObservation) {}

// committingConn is a connection whose answers contain the log position of a commit.
type committingConn struct{ fakeConn }

// Run implements wire.Conn.
func (c committingConn) Run(x *wire.Exchange) error {
	x.LogPosition = logpos.TermPosition{Term: 1, Position: 1}
	return c.fakeConn.Run(x)
}

// Acquire implements pool.Pool.
func (c slowlyConfirmed) Acquire(_ context.Context, address, _ string) (wire.Conn, error) {
	return committingConn{fakeConn{cluster: c.fakeCluster, address: address}}, nil
}

// Guards against a write that is cut short, or reported as unknown, because its caller left while
// it ran or was confirmed.
func TestRunningWriteEndsAndIsConfirmedAfterItsCallerLeft(t *testing.T) {
	for _, delay := range []time.Duration{0, unitTime} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g, cluster := singleSlotGroup()
			cluster.members["p"].delay = delay
			_, err := g.Execute(leavingContext(t), newWrite("w"), nil)
			is.NoErr(err)
			is.Equal(cluster.sent(), 1)
			time.Sleep(time.Hour)
		})
	}
}

// Guards against a unit that is sent, and a slot that stays in use, if the caller leaves at the moment at
// which the unit gets its connection.
func TestCallerThatLeavesAtTheGrantOfAConnection(t *testing.T) {
	for _, u := range []*execution.Unit{newWrite("w"), {ID: "r", Group: "g", Class: "aged", Timeout: 5 * time.Second, ReadOnly: true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g, cluster := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
			ctx, departure, release := execution.WithDeparture(context.Background(), "")
			defer release()
			cluster.onAcquire = func() {
				time.Sleep(time.Second)
				departure.Leave()
			}
			_, err := g.Execute(ctx, u, nil)
			is.True(callerLeft(err))
			is.Equal(cluster.sent(), 0)
			gate := g.Gate.(*admission.PerMember)
			cluster.onAcquire = nil
			for _, address := range []string{"p", "r1", "r2"} {
				slot, err := gate.Acquire(context.Background(), admission.Request{Class: u.Class, Member: address})
				is.NoErr(err)
				slot.Release()
			}
		})
	}
}

// Guards against a retry, or a second copy, of a read for a caller that has left.
func TestReadIsNotRetriedAfterItsCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		broken := func() *fakeMember { return &fakeMember{delay: unitTime, err: net.ErrClosed} }
		g, cluster := newFakeGroup(broken(), broken(), broken())
		u := &execution.Unit{ID: "u", Group: "g", Class: "aged", Timeout: 5 * time.Second, ReadOnly: true}
		_, err := g.Execute(leavingContext(t), u, nil)
		e, _ := result.As(err)
		is.Equal(e.Code, result.ConnectionLost)
		is.Equal(cluster.sent(), 1)
	})
}

// Guards against a write that waits for a primary for a caller that has left.
func TestWaitForAPrimaryEndsWhenTheCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, cluster := singleSlotGroup()
		cluster.snapshot.Primary = ""
		start := time.Now()
		_, err := g.Execute(leavingContext(t), newWrite("w"), nil)
		is.True(callerLeft(err))
		is.Equal(time.Since(start), leaveAfter)
	})
}

// Guards against a transaction whose connection is closed because its caller left before the commit
// was sent: the session rolls it back.
func TestCommitThatWasNotSentKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, cluster := singleSlotGroup()
		cluster.members["p"].opensTransaction = true
		begin := newWrite("b")
		begin.BeginsTransaction = true
		reply, err := g.Execute(t.Context(), begin, nil)
		is.NoErr(err)
		ctx, departure, release := execution.WithDeparture(t.Context(), "")
		defer release()
		departure.Leave()
		commit := newWrite("c")
		commit.Transaction, commit.EndsTransaction = reply.Transaction, true
		_, err = g.Execute(ctx, commit, nil)
		is.True(callerLeft(err))
		is.Equal(g.OpenTransactions(), 1)
		g.AbandonTransaction("g", reply.Transaction)
		synctest.Wait()
		time.Sleep(time.Minute)
		is.Equal(g.OpenTransactions(), 0)
	})
}

// linkedPeers passes calls of one router to another one; delay holds units back.
type linkedPeers struct {
	home  *Router
	delay time.Duration
}

// Homes implements Homes.
func (*linkedPeers) Homes(string) []platform.Instance {
	return []platform.Instance{{ID: "home", PeerAddress: "home"}}
}

// FindInstance implements Homes.
func (*linkedPeers) FindInstance(id string) (platform.Instance, bool) {
	return platform.Instance{ID: id, PeerAddress: id}, id == "home"
}

// Call implements peer.Caller.
func (l *linkedPeers) Call(_ context.Context, _, method string, params, reply any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	if method == methodLeft {
		_, err = l.home.serveLeft(context.Background(), "entry", raw)
		return err
	}
	time.Sleep(l.delay)
	answer, err := l.home.serveExecute(context.Background(), "entry", raw)
	if err == nil {
		*reply.(*execution.Reply) = *answer.(*execution.Reply)
	}
	return err
}

// Guards against a unit that another home goes on to queue for a caller that has left, also if the
// notice overtakes the unit, and against a write there that is cut short.
func TestHomeLearnsThatTheCallerLeft(t *testing.T) {
	for name, c := range map[string]struct {
		busy  bool
		delay time.Duration
		sent  int
	}{
		"queued":    {busy: true, sent: 1},
		"overtaken": {delay: 2 * leaveAfter, sent: 0},
		"running":   {sent: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g, cluster := singleSlotGroup()
				home := NewRouter("home", "home", nil, nil, clock.System{}, g.Metrics)
				home.AddGroup(g)
				link := &linkedPeers{home: home, delay: c.delay}
				entry := NewRouter("entry", "entry", link, link, clock.System{}, NewMetrics(prometheus.NewRegistry()))
				if c.busy {
					go func() { _, _ = g.Execute(t.Context(), newWrite("other"), nil) }()
					synctest.Wait()
				}
				_, err := entry.Execute(leavingContext(t), newWrite("w"), nil)
				is.Equal(callerLeft(err), name != "running")
				time.Sleep(time.Minute)
				is.Equal(cluster.sent(), c.sent)
				is.Equal(len(home.departures.units)+len(home.departures.early), 0)
			})
		})
	}
}

// Guards against a unit that is forwarded for a caller that has left.
func TestUnitIsNotForwardedAfterItsCallerLeft(t *testing.T) {
	is := is.New(t)
	link := &linkedPeers{}
	entry := NewRouter("entry", "entry", link, link, clock.System{}, NewMetrics(prometheus.NewRegistry()))
	ctx, departure, release := execution.WithDeparture(t.Context(), "")
	defer release()
	departure.Leave()
	_, err := entry.Execute(ctx, newWrite("w"), nil)
	is.True(callerLeft(err))
}

// Guards against notices that are invalid, late or too many and that take memory or end a unit.
func TestNoticesThatNameNoUnitAreBounded(t *testing.T) {
	is := is.New(t)
	r := NewRouter("home", "home", nil, nil, clock.System{}, NewMetrics(prometheus.NewRegistry()))
	for _, id := range []string{"", strings.Repeat("x", maxDepartureID+1)} {
		raw, err := json.Marshal(objectRef{Group: "g", ID: id})
		is.NoErr(err)
		_, err = r.serveLeft(t.Context(), "entry", raw)
		is.True(err != nil)
	}
	now := time.Now()
	for range 2 * maxEarlyNotices {
		r.departures.leave(r.departures.ids.Next(), now)
	}
	is.Equal(len(r.departures.early), maxEarlyNotices)
	r.departures.leave("late", now.Add(time.Minute))
	is.Equal(len(r.departures.early), 1)
	ctx, end := r.departures.begin(t.Context(), "late", now.Add(time.Hour))
	defer end()
	is.NoErr(ctx.Err())
}
