package group

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// counted is a member that answers from its fields and counts its questions.
type counted struct {
	mu        sync.Mutex
	status    member.Status
	questions int
	delay     time.Duration
}

// DialControl implements member.Dialer for the one member.
func (c *counted) DialControl(context.Context, string) (member.Control, error) { return c, nil }

// Status implements member.Control.
func (c *counted) Status(ctx context.Context) (member.Status, error) {
	c.mu.Lock()
	c.questions++
	delay := c.delay
	c.mu.Unlock()
	if err := clock.Sleep(ctx, clock.System{}, time.Millisecond+delay); err != nil {
		return member.Status{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status, nil
}

// WaitPosition implements member.Control.
func (c *counted) WaitPosition(ctx context.Context, _ logpos.Position) (member.Status, error) {
	return c.Status(ctx)
}

// EnterTerm implements member.Control.
func (c *counted) EnterTerm(ctx context.Context, _ logpos.Term) (member.Status, error) {
	return c.Status(ctx)
}

// Promote implements member.Control.
func (c *counted) Promote(ctx context.Context, _ member.Promotion) (member.Status, error) {
	return c.Status(ctx)
}

// Follow implements member.Control.
func (c *counted) Follow(ctx context.Context, _ logpos.Term, _ string) (member.Status, error) {
	return c.Status(ctx)
}

// Close implements member.Control.
func (c *counted) Close() error { return nil }

func (c *counted) set(s member.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = s
}

func (c *counted) asked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.questions
}

// trio dials three counted members by address.
type trio map[string]*counted

// DialControl implements member.Dialer.
func (t trio) DialControl(_ context.Context, address string) (member.Control, error) {
	return t[address], nil
}

// sparse runs f with a watcher that asks as little as it can.
func sparse(t *testing.T, f func(w *Watcher, members trio)) {
	synctest.Test(t, func(t *testing.T) {
		members := trio{"p": {}, "r": {}, "q": {}}
		status := member.Status{Role: member.RoleReplica, Entered: 1, Attached: 1, Last: logpos.Mark{Term: 1, Position: 100}}
		members["r"].set(status)
		members["q"].set(status)
		status.Role = member.RolePrimary
		members["p"].set(status)
		w := NewWatcher(Config{
			Group: "g", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 2)), Dialer: members,
			Members: []document.Member{{Address: "p"}, {Address: "r"}, {Address: "q"}},
			Intervals: Intervals{PrimaryPoll: 2 * time.Second, ReplicaPoll: 2 * time.Second, FastPoll: 4 * time.Millisecond,
				Probe: 100 * time.Millisecond, Wait: 400 * time.Millisecond, Away: 500 * time.Millisecond, Spread: 8 * time.Millisecond},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		time.Sleep(time.Second)
		f(w, members)
		cancel()
		<-done
	})
}

func at(position logpos.Position) logpos.Mark { return logpos.Mark{Term: 1, Position: position} }

// A write is confirmed while both replicas hold it. One of them is asked, and the
// other is spared.
func TestOneReplicaIsAskedToConfirm(t *testing.T) {
	sparse(t, func(w *Watcher, members trio) {
		is := is.New(t)
		before := members["r"].asked() + members["q"].asked()
		for range 10 {
			is.NoErr(w.ConfirmCommit(context.Background(), at(100)))
		}
		is.Equal(members["r"].asked()+members["q"].asked()-before, 10)
	})
}

// The replica that is asked first does not hold the write. The other one is asked a
// little later, and first the next time.
func TestAReplicaThatLagsIsNotAskedFirst(t *testing.T) {
	sparse(t, func(w *Watcher, members trio) {
		is := is.New(t)
		lagging, other := "r", "q"
		before := members["r"].asked()
		is.NoErr(w.ConfirmCommit(context.Background(), at(100)))
		if members["r"].asked() == before {
			lagging, other = "q", "r"
		}
		s := member.Status{Role: member.RoleReplica, Entered: 1, Attached: 1, Last: at(200)}
		members[other].set(s)
		start := time.Now()
		is.NoErr(w.ConfirmCommit(context.Background(), at(200)))
		is.True(time.Since(start) <= 12*time.Millisecond)
		asked := members[lagging].asked()
		start = time.Now()
		is.NoErr(w.ConfirmCommit(context.Background(), at(200)))
		is.True(time.Since(start) <= 2*time.Millisecond)
		is.Equal(members[lagging].asked(), asked)
	})
}

// No replica gets any further while a write waits. They are asked ever more rarely, and
// not hundreds of times a second.
func TestReplicasThatReceiveNothingAreNotAskedOnAndOn(t *testing.T) {
	sparse(t, func(w *Watcher, members trio) {
		is := is.New(t)
		before := members["r"].asked() + members["q"].asked()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(w.ConfirmCommit(ctx, at(300)) != nil)
		asked := members["r"].asked() + members["q"].asked() - before
		is.True(asked < 60)
	})
}

// One report shows a replica behind the primary. Nothing else is asked of it for a
// while, and it catches up meanwhile. The stall must end with its cause: it is held
// against writes, and after some seconds against the primary.
func TestStallEndsWhenTheReplicaGetsOn(t *testing.T) {
	sparse(t, func(w *Watcher, members trio) {
		is := is.New(t)
		w.Observed("p", w.Ask(), Observation{Log: at(200), Committed: true})
		for _, name := range []string{"r", "q"} {
			w.Observe(name, w.Ask(), member.Status{Role: member.RoleReplica, Entered: 1, Attached: 1, Last: at(100)})
		}
		is.True(!w.Snapshot().StalledSince.IsZero())
		for _, name := range []string{"r", "q"} {
			members[name].set(member.Status{Role: member.RoleReplica, Entered: 1, Attached: 1, Last: at(200)})
		}
		time.Sleep(300 * time.Millisecond)
		is.True(w.Snapshot().StalledSince.IsZero())
	})
}

// One replica is out of reach and the other one receives nothing. Writes would be sent
// and never confirmed: the replica that is out of reach must not count as one that gets
// on, or each of them would end as an unknown outcome after its whole time.
func TestReplicaOutOfReachDoesNotHideAStall(t *testing.T) {
	sparse(t, func(w *Watcher, members trio) {
		is := is.New(t)
		members["q"].mu.Lock()
		members["q"].delay = time.Hour
		members["q"].mu.Unlock()
		time.Sleep(5 * time.Second)
		q, _ := w.Snapshot().Find("q")
		is.True(!q.Failing.IsZero())
		is.True(w.Snapshot().StalledSince.IsZero())
		w.Observed("p", w.Ask(), Observation{Log: at(200), Committed: true})
		w.Observe("r", w.Ask(), member.Status{Role: member.RoleReplica, Entered: 1, Attached: 1, Last: at(100)})
		is.True(!w.Snapshot().StalledSince.IsZero())
		members["r"].set(member.Status{Role: member.RoleReplica, Entered: 1, Attached: 1, Last: at(200)})
		time.Sleep(300 * time.Millisecond)
		is.True(w.Snapshot().StalledSince.IsZero())
	})
}

// The primary is lost, and another instance has a replica promoted. This instance had
// no part in it, and its replicas are polled rarely. It still learns of the new primary
// within some tens of milliseconds, or its callers would be refused for a second more.
func TestNewPrimaryIsLearnedByThoseWhoDidNotPromoteIt(t *testing.T) {
	sparse(t, func(w *Watcher, members trio) {
		is := is.New(t)
		members["p"].mu.Lock()
		members["p"].delay = time.Hour
		members["p"].mu.Unlock()
		w.ReportFailure("p")
		time.Sleep(500 * time.Millisecond)
		p, _ := w.Snapshot().Find("p")
		is.True(!p.Failing.IsZero())
		members["r"].set(member.Status{Role: member.RolePrimary, Entered: 2, Attached: 2, Last: logpos.Mark{Term: 2, Position: 120}, TermStart: 100})
		members["q"].set(member.Status{Role: member.RoleReplica, Entered: 2, Attached: 2, Last: logpos.Mark{Term: 2, Position: 120}})
		time.Sleep(60 * time.Millisecond)
		is.Equal(w.Snapshot().Primary, "r")
		before := members["q"].asked()
		time.Sleep(time.Second)
		is.True(members["q"].asked()-before <= 2)
	})
}

// The primary dies when it has answered a write and no replica has it yet. All callers
// wait for their confirmations, so that no statement meets the dead primary. It is
// asked all the same, and found out long before the confirmations time out.
func TestPrimaryThatDiesBehindItsAnswerIsFoundOut(t *testing.T) {
	sparse(t, func(w *Watcher, members trio) {
		is := is.New(t)
		members["p"].mu.Lock()
		members["p"].delay = time.Hour
		members["p"].mu.Unlock()
		w.Observed("p", w.Ask(), Observation{Log: at(200), Committed: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		go func() { _ = w.ConfirmCommit(ctx, at(200)) }()
		time.Sleep(700 * time.Millisecond)
		p, _ := w.Snapshot().Find("p")
		is.True(!p.Failing.IsZero())
	})
}

// A primary is cut off with the instance beside it, and another one leads elsewhere. The
// old one is told that it is a replica before it hears of the new term: it then reports
// the old term and, of course, all that it committed itself. That confirms nothing, and
// verifies nothing: no other member holds it.
func TestPrimaryThatSteppedDownDoesNotConfirmItself(t *testing.T) {
	sparse(t, func(w *Watcher, members trio) {
		is := is.New(t)
		for _, name := range []string{"r", "q"} {
			members[name].mu.Lock()
			members[name].delay = time.Hour
			members[name].mu.Unlock()
		}
		w.Observed("p", w.Ask(), Observation{Log: at(200), Committed: true})
		v, err := w.Verify()
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		confirmed, verified := make(chan error, 1), make(chan error, 1)
		go func() { confirmed <- w.ConfirmCommit(ctx, at(200)) }()
		go func() { verified <- v.Wait(ctx) }()
		synctest.Wait()
		members["p"].set(member.Status{Role: member.RoleReplica, Entered: 1, Attached: 1, Last: at(200)})
		w.Recheck("p")
		time.Sleep(100 * time.Millisecond)
		w.Observed("p", w.Ask(), Observation{Log: at(200)})
		is.True(<-confirmed != nil)
		is.True(<-verified != nil)
	})
}

// Members answer statements all the time. They are not polled as well.
func TestAnswersStandForPolls(t *testing.T) {
	sparse(t, func(w *Watcher, members trio) {
		is := is.New(t)
		before := members["r"].asked()
		for range 100 {
			w.Observed("r", w.Ask(), Observation{Log: at(100)})
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(members["r"].asked(), before)
	})
}

// A busy member answers statements, and its reports come late. It is not taken for
// lost, and no new connection is opened to it.
func TestBusyMemberIsNotLost(t *testing.T) {
	sparse(t, func(w *Watcher, members trio) {
		is := is.New(t)
		members["p"].mu.Lock()
		members["p"].delay = 900 * time.Millisecond
		members["p"].mu.Unlock()
		w.Recheck("p")
		for range 20 {
			w.Observed("p", w.Ask(), Observation{Log: at(100)})
			time.Sleep(50 * time.Millisecond)
		}
		v, _ := w.Snapshot().Find("p")
		is.True(v.Failing.IsZero())
	})
}

// A commit is confirmed by the log that an answer to a read showed, but a verification
// is not: the replica may have been fenced since.
func TestAnswersConfirmCommitsAndVerifyNothing(t *testing.T) {
	sparse(t, func(w *Watcher, members trio) {
		is := is.New(t)
		for _, m := range members {
			m.mu.Lock()
			m.delay = time.Minute
			m.mu.Unlock()
		}
		v, err := w.Verify()
		is.NoErr(err)
		done := make(chan error, 1)
		go func() { done <- w.ConfirmCommit(context.Background(), at(150)) }()
		synctest.Wait()
		w.Observed("r", w.Ask(), Observation{Log: at(150)})
		is.NoErr(<-done)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(v.Wait(ctx) != nil)
	})
}
