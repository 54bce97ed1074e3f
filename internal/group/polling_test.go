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

// countingMember is a member that answers from its fields and counts its queries.
type countingMember struct {
	mu      sync.Mutex
	status  member.Status
	queries int
	delay   time.Duration
}

// DialControl implements member.Dialer for this one member.
func (c *countingMember) DialControl(context.Context, string) (member.Control, error) { return c, nil }

// Status implements member.Control.
func (c *countingMember) Status(ctx context.Context) (member.Status, error) {
	c.mu.Lock()
	c.queries++
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
func (c *countingMember) WaitPosition(ctx context.Context, _ logpos.Position) (member.Status, error) {
	return c.Status(ctx)
}

// EnterTerm implements member.Control.
func (c *countingMember) EnterTerm(ctx context.Context, _ logpos.Term) (member.Status, error) {
	return c.Status(ctx)
}

// Promote implements member.Control.
func (c *countingMember) Promote(ctx context.Context, _ member.Promotion) (member.Status, error) {
	return c.Status(ctx)
}

// Follow implements member.Control.
func (c *countingMember) Follow(ctx context.Context, _ logpos.Term, _ string) (member.Status, error) {
	return c.Status(ctx)
}

// Close implements member.Control.
func (c *countingMember) Close() error { return nil }

func (c *countingMember) setStatus(s member.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = s
}

func (c *countingMember) queryCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queries
}

// countingMembers dials counting members by address.
type countingMembers map[string]*countingMember

// DialControl implements member.Dialer.
func (t countingMembers) DialControl(_ context.Context, address string) (member.Control, error) {
	return t[address], nil
}

// withSparsePolling runs f with a watcher that polls as rarely as it can.
func withSparsePolling(t *testing.T, f func(w *Watcher, members countingMembers)) {
	synctest.Test(t, func(t *testing.T) {
		members := countingMembers{"p": {}, "r": {}, "q": {}}
		status := member.Status{Role: member.RoleReplica, EnteredTerm: 1, AttachedTerm: 1, LastRecord: logpos.TermPosition{Term: 1, Position: 100}}
		members["r"].setStatus(status)
		members["q"].setStatus(status)
		status.Role = member.RolePrimary
		members["p"].setStatus(status)
		w := NewWatcher(Config{
			Group: "g", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 2)), Dialer: members,
			Members: []document.Member{{Address: "p"}, {Address: "r"}, {Address: "q"}},
			Intervals: Intervals{PrimaryPoll: 2 * time.Second, ReplicaPoll: 2 * time.Second, FastPoll: 4 * time.Millisecond,
				Probe: 100 * time.Millisecond, Wait: 400 * time.Millisecond, MaxProbeInterval: 500 * time.Millisecond, HedgeDelay: 8 * time.Millisecond},
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

func markAt(position logpos.Position) logpos.TermPosition {
	return logpos.TermPosition{Term: 1, Position: position}
}

// A write is confirmed while both replicas hold it. Only one of them is queried.
func TestConfirmQueriesOneReplica(t *testing.T) {
	withSparsePolling(t, func(w *Watcher, members countingMembers) {
		is := is.New(t)
		before := members["r"].queryCount() + members["q"].queryCount()
		for range 10 {
			is.NoErr(w.ConfirmCommit(context.Background(), markAt(100)))
		}
		is.Equal(members["r"].queryCount()+members["q"].queryCount()-before, 10)
	})
}

// The replica that is queried first does not hold the write. The other one is queried
// shortly after, and is queried first the next time.
func TestLaggingReplicaIsNotQueriedFirst(t *testing.T) {
	withSparsePolling(t, func(w *Watcher, members countingMembers) {
		is := is.New(t)
		lagging, other := "r", "q"
		before := members["r"].queryCount()
		is.NoErr(w.ConfirmCommit(context.Background(), markAt(100)))
		if members["r"].queryCount() == before {
			lagging, other = "q", "r"
		}
		s := member.Status{Role: member.RoleReplica, EnteredTerm: 1, AttachedTerm: 1, LastRecord: markAt(200)}
		members[other].setStatus(s)
		start := time.Now()
		is.NoErr(w.ConfirmCommit(context.Background(), markAt(200)))
		is.True(time.Since(start) <= 12*time.Millisecond)
		queries := members[lagging].queryCount()
		start = time.Now()
		is.NoErr(w.ConfirmCommit(context.Background(), markAt(200)))
		is.True(time.Since(start) <= 2*time.Millisecond)
		is.Equal(members[lagging].queryCount(), queries)
	})
}

// No replica makes progress while a write waits. They are queried at growing intervals,
// and not hundreds of times a second.
func TestStuckReplicasAreQueriedLessOften(t *testing.T) {
	withSparsePolling(t, func(w *Watcher, members countingMembers) {
		is := is.New(t)
		before := members["r"].queryCount() + members["q"].queryCount()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(w.ConfirmCommit(ctx, markAt(300)) != nil)
		queries := members["r"].queryCount() + members["q"].queryCount() - before
		is.True(queries < 60)
	})
}

// One report shows a replica behind the primary. The replica is not queried again for a
// while and catches up in the meantime. The stall must end with its cause: it blocks
// writes, and after some seconds it counts against the primary.
func TestStallEndsWhenTheReplicaCatchesUp(t *testing.T) {
	withSparsePolling(t, func(w *Watcher, members countingMembers) {
		is := is.New(t)
		w.RecordAnswer("p", w.NewTicket(), StatementObservation{LogEnd: markAt(200), Committed: true})
		for _, name := range []string{"r", "q"} {
			w.RecordReport(name, w.NewTicket(), member.Status{Role: member.RoleReplica, EnteredTerm: 1, AttachedTerm: 1, LastRecord: markAt(100)})
		}
		is.True(!w.Snapshot().StalledSince.IsZero())
		for _, name := range []string{"r", "q"} {
			members[name].setStatus(member.Status{Role: member.RoleReplica, EnteredTerm: 1, AttachedTerm: 1, LastRecord: markAt(200)})
		}
		time.Sleep(300 * time.Millisecond)
		is.True(w.Snapshot().StalledSince.IsZero())
	})
}

// One replica is unreachable and the other one receives nothing. Writes would be sent and
// never confirmed. The unreachable replica must not count as making progress: otherwise
// each write would end with an unknown outcome after its full timeout.
func TestUnreachableReplicaDoesNotHideAStall(t *testing.T) {
	withSparsePolling(t, func(w *Watcher, members countingMembers) {
		is := is.New(t)
		members["q"].mu.Lock()
		members["q"].delay = time.Hour
		members["q"].mu.Unlock()
		time.Sleep(5 * time.Second)
		q, _ := w.Snapshot().FindMember("q")
		is.True(!q.FailingSince.IsZero())
		is.True(w.Snapshot().StalledSince.IsZero())
		w.RecordAnswer("p", w.NewTicket(), StatementObservation{LogEnd: markAt(200), Committed: true})
		w.RecordReport("r", w.NewTicket(), member.Status{Role: member.RoleReplica, EnteredTerm: 1, AttachedTerm: 1, LastRecord: markAt(100)})
		is.True(!w.Snapshot().StalledSince.IsZero())
		members["r"].setStatus(member.Status{Role: member.RoleReplica, EnteredTerm: 1, AttachedTerm: 1, LastRecord: markAt(200)})
		time.Sleep(300 * time.Millisecond)
		is.True(w.Snapshot().StalledSince.IsZero())
	})
}

// The primary is lost, and another instance promotes a replica. This instance is not
// involved in the promotion, and it polls the replicas rarely. It must still learn of the new
// primary within tens of milliseconds; otherwise its callers are refused for another
// second.
func TestNewPrimaryIsLearnedByOtherInstances(t *testing.T) {
	withSparsePolling(t, func(w *Watcher, members countingMembers) {
		is := is.New(t)
		members["p"].mu.Lock()
		members["p"].delay = time.Hour
		members["p"].mu.Unlock()
		w.ReportFailure("p")
		time.Sleep(500 * time.Millisecond)
		p, _ := w.Snapshot().FindMember("p")
		is.True(!p.FailingSince.IsZero())
		members["r"].setStatus(member.Status{Role: member.RolePrimary, EnteredTerm: 2, AttachedTerm: 2, LastRecord: logpos.TermPosition{Term: 2, Position: 120}, TermStart: 100})
		members["q"].setStatus(member.Status{Role: member.RoleReplica, EnteredTerm: 2, AttachedTerm: 2, LastRecord: logpos.TermPosition{Term: 2, Position: 120}})
		time.Sleep(60 * time.Millisecond)
		is.Equal(w.Snapshot().Primary, "r")
		before := members["q"].queryCount()
		time.Sleep(time.Second)
		is.True(members["q"].queryCount()-before <= 2)
	})
}

// The primary dies after it has answered a write that no replica has yet. All callers wait
// for confirmations, so no statement reaches the dead primary. The watcher still polls it
// and detects the failure long before the confirmations time out.
func TestPrimaryThatDiesAfterAnsweringIsDetected(t *testing.T) {
	withSparsePolling(t, func(w *Watcher, members countingMembers) {
		is := is.New(t)
		members["p"].mu.Lock()
		members["p"].delay = time.Hour
		members["p"].mu.Unlock()
		w.RecordAnswer("p", w.NewTicket(), StatementObservation{LogEnd: markAt(200), Committed: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		go func() { _ = w.ConfirmCommit(ctx, markAt(200)) }()
		time.Sleep(700 * time.Millisecond)
		p, _ := w.Snapshot().FindMember("p")
		is.True(!p.FailingSince.IsZero())
	})
}

// A primary is cut off together with the instance beside it, and another one is promoted
// elsewhere. The old primary is made a replica before it learns of the new term, so it
// reports the old term and every write that it committed itself. This must not confirm or
// verify anything: no other member holds those writes.
func TestPrimaryThatSteppedDownDoesNotConfirmItself(t *testing.T) {
	withSparsePolling(t, func(w *Watcher, members countingMembers) {
		is := is.New(t)
		for _, name := range []string{"r", "q"} {
			members[name].mu.Lock()
			members[name].delay = time.Hour
			members[name].mu.Unlock()
		}
		w.RecordAnswer("p", w.NewTicket(), StatementObservation{LogEnd: markAt(200), Committed: true})
		v, err := w.Verify()
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		confirmed, verified := make(chan error, 1), make(chan error, 1)
		go func() { confirmed <- w.ConfirmCommit(ctx, markAt(200)) }()
		go func() { verified <- v.Wait(ctx) }()
		synctest.Wait()
		members["p"].setStatus(member.Status{Role: member.RoleReplica, EnteredTerm: 1, AttachedTerm: 1, LastRecord: markAt(200)})
		w.Recheck("p")
		time.Sleep(100 * time.Millisecond)
		w.RecordAnswer("p", w.NewTicket(), StatementObservation{LogEnd: markAt(200)})
		is.True(<-confirmed != nil)
		is.True(<-verified != nil)
	})
}

// Members answer statements continuously, so they are not polled in addition.
func TestStatementAnswersReplacePolls(t *testing.T) {
	withSparsePolling(t, func(w *Watcher, members countingMembers) {
		is := is.New(t)
		before := members["r"].queryCount()
		for range 100 {
			w.RecordAnswer("r", w.NewTicket(), StatementObservation{LogEnd: markAt(100)})
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(members["r"].queryCount(), before)
	})
}

// A busy member answers statements, and its reports arrive late. It is not considered
// failed, and no new connection is opened to it.
func TestBusyMemberIsNotLost(t *testing.T) {
	withSparsePolling(t, func(w *Watcher, members countingMembers) {
		is := is.New(t)
		members["p"].mu.Lock()
		members["p"].delay = 900 * time.Millisecond
		members["p"].mu.Unlock()
		w.Recheck("p")
		for range 20 {
			w.RecordAnswer("p", w.NewTicket(), StatementObservation{LogEnd: markAt(100)})
			time.Sleep(50 * time.Millisecond)
		}
		v, _ := w.Snapshot().FindMember("p")
		is.True(v.FailingSince.IsZero())
	})
}

// A commit is confirmed by a log position from the answer to a read. A verification is
// not: the replica may have been fenced since.
func TestStatementAnswersConfirmOnlyCommits(t *testing.T) {
	withSparsePolling(t, func(w *Watcher, members countingMembers) {
		is := is.New(t)
		for _, m := range members {
			m.mu.Lock()
			m.delay = time.Minute
			m.mu.Unlock()
		}
		v, err := w.Verify()
		is.NoErr(err)
		done := make(chan error, 1)
		go func() { done <- w.ConfirmCommit(context.Background(), markAt(150)) }()
		synctest.Wait()
		w.RecordAnswer("r", w.NewTicket(), StatementObservation{LogEnd: markAt(150)})
		is.NoErr(<-done)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(v.Wait(ctx) != nil)
	})
}
