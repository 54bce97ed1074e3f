package executor

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/consistency"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/memberchoice"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/retry"
	"github.com/topazrock/topazrock/internal/wire"
)

// readObjective is the objective of the read class in these tests.
const readObjective = 300 * time.Millisecond

// fakeMember is a member that answers all statements in the same way.
type fakeMember struct {
	delay   time.Duration
	err     error
	failure *wire.Failure
	// failsUntil is when failure ends; zero means never. opensTransaction means that a
	// statement leaves a transaction open.
	failsUntil       time.Time
	opensTransaction bool
	// chunk is passed on before the answer ends; nil means that the answer has no chunks.
	chunk []byte
	// keyFailure is the refusal of request keys; nil means that none is refused.
	keyFailure *wire.Failure
	// statements counts the statements that reached the member; required is the log position
	// that the last one required.
	statements int
	required   logpos.TermPosition
}

// fakeCluster holds members by address and is the pool and tracker of a group.
type fakeCluster struct {
	group.Tracker
	snapshot group.Snapshot
	// noProvenMark means that only a barrier proves a mark.
	noProvenMark bool

	mu             sync.Mutex
	members        map[string]*fakeMember
	reportedFailed []string
	// onAcquire is called when a connection is acquired; may be nil.
	onAcquire func()
	// full holds members that accept no connection; refusedAcquires counts the attempts.
	full            map[string]bool
	refusedAcquires int
}

// fakeConn is a connection to a fake member.
type fakeConn struct {
	wire.Conn
	cluster *fakeCluster
	address string
}

// Address implements wire.Conn.
func (c fakeConn) Address() string { return c.address }

// Opened implements wire.Conn.
func (c fakeConn) Opened() time.Time { return time.Time{} }

// SetDeadline implements wire.Conn.
func (c fakeConn) SetDeadline(time.Time) error { return nil }

// Reusable implements wire.Conn.
func (c fakeConn) Reusable() bool { return true }

// MarkUnusable implements wire.Conn.
func (c fakeConn) MarkUnusable() {}

// Cancel implements wire.Conn.
func (c fakeConn) Cancel(context.Context, netio.Dialer) error { return nil }

// Run implements wire.Conn.
func (c fakeConn) Run(x *wire.Exchange) error {
	c.cluster.mu.Lock()
	c.cluster.members[c.address].statements++
	c.cluster.members[c.address].required = x.Required
	m := *c.cluster.members[c.address]
	c.cluster.mu.Unlock()
	_ = clock.Sleep(context.Background(), clock.System{}, m.delay)
	if m.chunk != nil {
		if err := x.Partial(m.chunk); err != nil {
			return err
		}
	}
	x.TxStatus, x.Failure, x.KeyFailure = wire.Idle, m.failure, m.keyFailure
	if !m.failsUntil.IsZero() && !time.Now().Before(m.failsUntil) {
		x.Failure = nil
	}
	if m.opensTransaction && x.Unit != emptyUnit {
		x.TxStatus = wire.InTransaction
	}
	x.Messages = []byte(c.address)
	return m.err
}

// Acquire implements pool.Pool.
func (c *fakeCluster) Acquire(_ context.Context, address, _ string) (wire.Conn, error) {
	if c.full[address] {
		c.refusedAcquires++
		return nil, result.New(result.TooManyConnections, "member %s", address)
	}
	if c.onAcquire != nil {
		c.onAcquire()
	}
	return fakeConn{cluster: c, address: address}, nil
}

// Release implements pool.Pool.
func (*fakeCluster) Release(wire.Conn) {}

// MarkSuspect implements pool.Pool.
func (*fakeCluster) MarkSuspect(string, time.Time) {}

// ProbeIdle implements pool.Pool.
func (*fakeCluster) ProbeIdle(time.Time) {}

// IsFull implements pool.Pool.
func (c *fakeCluster) IsFull(address string) bool { return c.full[address] }

// HasIdle implements pool.Pool.
func (c *fakeCluster) HasIdle(string, string) bool { return true }

// FullForWorkspace implements pool.Pool.
func (c *fakeCluster) FullForWorkspace(address, _ string) bool { return c.full[address] }

// Snapshot implements group.Tracker.
func (c *fakeCluster) Snapshot() *group.Snapshot { return &c.snapshot }

// NewTicket implements group.Tracker.
func (*fakeCluster) NewTicket() group.Ticket { return group.Ticket{} }

// Recheck implements group.Tracker.
func (*fakeCluster) Recheck(string) {}

// ReportFailure implements group.Tracker.
func (c *fakeCluster) ReportFailure(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportedFailed = append(c.reportedFailed, address)
}

// ProvenPosition implements group.Tracker.
func (c *fakeCluster) ProvenPosition(time.Time) (logpos.TermPosition, bool) {
	return logpos.TermPosition{Term: 1, Position: 10}, !c.noProvenMark
}

// FetchFloor implements group.Tracker.
func (c *fakeCluster) FetchFloor(ctx context.Context) (logpos.TermPosition, error) {
	return c.Barrier(ctx)
}

// Barrier implements group.Tracker.
func (*fakeCluster) Barrier(context.Context) (logpos.TermPosition, error) {
	return logpos.TermPosition{Term: 1, Position: 15}, nil
}

// statementsAt returns how many statements reached a member.
func (c *fakeCluster) statementsAt(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[address].statements
}

// fullRetryBudget returns a retry budget that earlier requests have filled.
func fullRetryBudget() *retry.Budget {
	b := retry.New(retry.Config{Group: "g", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 2))})
	for range int(retry.DefaultBurst / retry.DefaultRatio) {
		b.RecordRequest()
	}
	return b
}

// newFakeGroup returns a group with a primary p and two replicas.
func newFakeGroup(p, r1, r2 *fakeMember) (*Group, *fakeCluster) {
	now := time.Now()
	view := func(address string, role member.Role) group.MemberView {
		return group.MemberView{Address: address, ReportedAt: now, FreshAsOf: now,
			Status: member.Status{Role: role, EnteredTerm: 1, AttachedTerm: 1, LastRecord: logpos.TermPosition{Term: 1, Position: 20}}}
	}
	cluster := &fakeCluster{
		members: map[string]*fakeMember{"p": p, "r1": r1, "r2": r2},
		snapshot: group.Snapshot{Group: "g", Term: 1, Primary: "p", QuorumAttachedAt: now, Members: []group.MemberView{
			view("p", member.RolePrimary), view("r1", member.RoleReplica), view("r2", member.RoleReplica)}},
	}
	service := &document.Service{
		Limits:      document.Limits{StatementTimeout: time.Minute, RequestTimeout: time.Minute, ConfirmTimeout: time.Second, AnswerBuffer: 1 << 20, MaxQueue: 10},
		ReadClasses: []document.ReadClass{{Name: "aged", Consistency: consistency.WithinAge(time.Hour), Priority: 5, LatencyObjective: readObjective}},
	}
	return NewGroup(Config{
		Group: "g", Instance: "i", Service: func() *document.Service { return service },
		Tracker: cluster, Pool: cluster, Clock: clock.System{}, Logger: hclog.NewNullLogger(),
		Gate:    admission.NewPerMember(admission.Config{Group: "g", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 1)), Slots: 4}),
		Budget:  fullRetryBudget(),
		Random:  rand.New(rand.NewPCG(1, 3)),
		Metrics: NewMetrics(prometheus.NewRegistry()),
		Wire:    wire.Features{ChecksPosition: true, ReportsLogPosition: true, SlotPerConnection: true, BuffersResponses: true, ReportsCommit: true},
	}), cluster
}

// readOnce runs one bounded-staleness read and returns which member answered, and the duration.
func readOnce(t *testing.T, g *Group) (string, time.Duration, error) {
	t.Helper()
	start := time.Now()
	u := &execution.Unit{ID: "u", Group: "g", Class: "aged", Timeout: time.Second, ReadOnly: true, Messages: []byte("read")}
	reply, err := g.Execute(t.Context(), u, func([]byte) error { return nil })
	if err != nil {
		return "", time.Since(start), err
	}
	return string(reply.Messages), time.Since(start), nil
}

// A replica answers nothing for seconds and closes no connection. A read sent to it must also be
// sent to the other replica after a third of the objective, so that the caller gets its answer in
// time whichever replica was picked first.
func TestReadAtSilentReplicaIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		quick := &fakeMember{delay: 10 * time.Millisecond}
		g, cluster := newFakeGroup(&fakeMember{}, &fakeMember{delay: 5 * time.Second}, quick)
		slow := 0
		for range 8 {
			member, elapsed, err := readOnce(t, g)
			is.NoErr(err)
			is.Equal(member, "r2")
			is.True(elapsed <= readObjective/hedgeDivisor+10*time.Millisecond)
			slow += cluster.statementsAt("r1")
		}
		is.True(slow > 0)
		_ = clock.Sleep(t.Context(), clock.System{}, 10*time.Second)
	})
}

// A replica's connection breaks, the statement fails there, or the replica lacks what the read
// must see or is busy. The read changes nothing, so another replica must answer it without an
// error for the caller.
func TestFailedReadIsRetriedAtAnotherReplica(t *testing.T) {
	for name, broken := range map[string]*fakeMember{
		"connection broken": {err: net.ErrClosed},
		"statement failed":  {failure: &wire.Failure{Kind: wire.FailureAtMember, Code: "FAILED"}},
		"lagging":           {failure: &wire.Failure{Kind: wire.FailureLagging}},
		"busy":              {failure: &wire.Failure{Kind: wire.FailureBusy}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g, cluster := newFakeGroup(&fakeMember{}, broken, &fakeMember{})
				for range 4 {
					member, _, err := readOnce(t, g)
					is.NoErr(err)
					is.Equal(member, "r2")
				}
				is.True(cluster.statementsAt("r1") > 0)
			})
		})
	}
}

// All members fail the statement. The caller must get the error after a few members; guards
// against unbounded retries.
func TestReadThatFailsEverywhereStopsRetrying(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		broken := func() *fakeMember { return &fakeMember{err: net.ErrClosed} }
		g, cluster := newFakeGroup(broken(), broken(), broken())
		_, _, err := readOnce(t, g)
		var e *result.Error
		is.True(errors.As(err, &e))
		is.Equal(e.Code, result.ConnectionLost)
		is.True(cluster.statementsAt("p")+cluster.statementsAt("r1")+cluster.statementsAt("r2") <= maxReadAttempts+1)
		is.True(len(cluster.reportedFailed) > 0)
	})
}

// One of two replicas is lost, and the other one has statements of this instance queued while
// the primary has none. Bounded-staleness reads must go to the primary as well.
func TestBoundedStalenessReadsSpillToIdlePrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, cluster := newFakeGroup(&fakeMember{delay: time.Millisecond}, &fakeMember{delay: 80 * time.Millisecond}, &fakeMember{delay: 80 * time.Millisecond})
		cluster.snapshot.Members = cluster.snapshot.Members[:2]
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() { _, _, _ = readOnce(t, g) })
			synctest.Wait()
		}
		all.Wait()
		_ = clock.Sleep(t.Context(), clock.System{}, time.Second)
		is.True(cluster.statementsAt("p") > 0)
		is.True(cluster.statementsAt("r1") >= memberchoice.SpillThreshold)
	})
}

// The first read of a group arrives while its first write is running, and no earlier position is
// proved. A barrier proves one, but the tracker does not report it as proven because another sample
// was taken meanwhile. The read must be sent with the position that the barrier itself proved, and
// must not be refused.
func TestFirstReadUsesBarrierPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, cluster := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
		cluster.noProvenMark = true
		member, _, err := readOnce(t, g)
		is.NoErr(err)
		is.Equal(cluster.members[member].required, logpos.TermPosition{Term: 1, Position: 15})
	})
}
