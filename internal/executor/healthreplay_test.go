package executor

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/consistency"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/memberhealth"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/retry"
	"github.com/topazrock/topazrock/internal/wire"
)

// replayMember is a member with slots of its own that can hang, fail or lag.
type replayMember struct {
	// slots holds one token for each statement that runs; the others wait in it.
	slots chan struct{}
	// hangs and fails decide for each statement; applied returns the position that the log holds.
	hangs, fails func() bool
	applied      func() logpos.Position
	// reached counts the statements that reached the member, and lagging those that it refused.
	reached, lagging, hung, failed int
}

// replayCluster is a fakeCluster whose connections have deadlines.
type replayCluster struct {
	*fakeCluster
	start   time.Time
	work    time.Duration
	members map[string]*replayMember
}

// replayConn is a connection to a replayMember.
type replayConn struct {
	fakeConn
	cluster *replayCluster

	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{}
}

// Acquire implements pool.Pool.
func (c *replayCluster) Acquire(_ context.Context, address, _ string) (wire.Conn, error) {
	return &replayConn{fakeConn: fakeConn{cluster: c.fakeCluster, address: address}, cluster: c, changed: make(chan struct{}, 1)}, nil
}

// ProvenPosition implements group.Tracker: a position of a second ago, where one is written each
// millisecond.
func (c *replayCluster) ProvenPosition(notBefore time.Time) (logpos.TermPosition, bool) {
	return logpos.TermPosition{Term: 1, Position: c.position(notBefore)}, !notBefore.After(time.Now())
}

// FetchFloor implements group.Tracker.
func (c *replayCluster) FetchFloor(context.Context) (logpos.TermPosition, error) {
	return logpos.TermPosition{Term: 1, Position: c.position(time.Now())}, nil
}

// Verify implements group.Tracker. No member is replaced in these replays.
func (c *replayCluster) Verify() (*group.Verification, error) {
	return &group.Verification{Term: 1}, nil
}

// ConfirmCommit implements group.Tracker.
func (c *replayCluster) ConfirmCommit(context.Context, logpos.TermPosition) error { return nil }

// RecordAnswer implements group.Tracker.
func (c *replayCluster) RecordAnswer(string, group.Ticket, group.StatementObservation) {}

func (c *replayCluster) position(at time.Time) logpos.Position {
	return logpos.Position(max(at.Sub(c.start).Milliseconds(), 0) + 1)
}

// SetDeadline implements wire.Conn.
func (c *replayConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	select {
	case c.changed <- struct{}{}:
	default:
	}
	return nil
}

// wait waits for d, or for the deadline.
func (c *replayConn) wait(d time.Duration) error {
	end := time.Now().Add(d)
	for {
		c.mu.Lock()
		deadline := c.deadline
		c.mu.Unlock()
		now := time.Now()
		switch {
		case !now.Before(end):
			return nil
		case !now.Before(deadline):
			return os.ErrDeadlineExceeded
		}
		timer := time.NewTimer(min(end.Sub(now), deadline.Sub(now)))
		select {
		case <-timer.C:
		case <-c.changed:
			timer.Stop()
		}
	}
}

// Run implements wire.Conn.
func (c *replayConn) Run(x *wire.Exchange) error {
	m := c.cluster.members[c.address]
	c.cluster.mu.Lock()
	m.reached++
	hangs, fails := m.hangs != nil && m.hangs(), m.fails != nil && m.fails()
	lagging := m.applied != nil && m.applied() < x.Required.Position
	switch {
	case hangs:
		m.hung++
	case lagging:
		m.lagging++
	case fails:
		m.failed++
	}
	c.cluster.mu.Unlock()
	x.TxStatus = wire.Idle
	x.MemberStatus = &member.Status{Role: member.RolePrimary, EnteredTerm: 1}
	switch {
	case hangs:
		return c.wait(time.Hour)
	case lagging:
		x.Failure = &wire.Failure{Kind: wire.FailureLagging}
	case fails:
		x.Failure = &wire.Failure{Kind: wire.FailureAtMember}
	default:
		m.slots <- struct{}{}
		defer func() { <-m.slots }()
		if err := c.wait(c.cluster.work); err != nil {
			return err
		}
		x.Completed, x.Committed = 1, !x.Unit.ReadOnly
	}
	x.LogPosition = logpos.TermPosition{Term: 1, Position: c.cluster.position(time.Now())}
	if m.applied != nil {
		x.LogPosition.Position = m.applied()
	}
	x.Messages = []byte(c.address)
	return nil
}

// replay is a group with a primary p and replicas r1 and r2 of four slots each.
type replay struct {
	*Group
	cluster *replayCluster
	results map[string]*results
}

// newReplay builds the group; with health, the health of members is in use.
func newReplay(health bool, work time.Duration) *replay {
	g, fake := newFakeGroup(nil, nil, nil)
	service := g.Service()
	service.Limits.StatementTimeout = time.Second
	service.ReadClasses[0].Consistency = consistency.WithinAge(1500 * time.Millisecond)
	service.ReadClasses = append(service.ReadClasses, document.ReadClass{Name: "fresh", Consistency: consistency.Primary(), MayWrite: true, Priority: 5, LatencyObjective: readObjective})
	c := &replayCluster{fakeCluster: fake, start: time.Now().Add(-10 * time.Second), work: work, members: make(map[string]*replayMember)}
	c.snapshot.Size = 3
	for _, a := range []string{"p", "r1", "r2"} {
		c.members[a] = &replayMember{slots: make(chan struct{}, 4)}
	}
	config := g.Config
	config.Tracker, config.Pool, config.ConfirmationAge = c, c, time.Hour
	config.Health = memberhealth.NewTracker(memberhealth.Config{
		Group: "g", Process: "i", Clock: clock.System{}, Logger: hclog.NewNullLogger(), Metrics: memberhealth.NewMetrics(nil),
		Enabled: func() bool { return health }, Incarnation: func(string) int64 { return 1 }, Snapshot: c.Snapshot,
		Notify: func(memberhealth.Evidence) {},
	})
	return &replay{Group: NewGroup(config), cluster: c, results: make(map[string]*results)}
}

// results counts the units of one stream; cut are those whose outcome is unknown although their
// timeout had not passed.
type results struct{ all, inTime, failed, cut int }

// share returns the part of the units that was answered in time.
func (r *results) share() float64 { return float64(r.inTime) / float64(r.all) }

// send runs units of a class at a steady rate for a period.
func (r *replay) send(name, class string, readOnly bool, perSecond int, period time.Duration) {
	count := &results{}
	r.cluster.mu.Lock()
	r.results[name] = count
	r.cluster.mu.Unlock()
	var units sync.WaitGroup
	for k := range int(period.Seconds() * float64(perSecond)) {
		u := &execution.Unit{ID: name + strconv.Itoa(k), Group: "g", Class: class, Timeout: 1200 * time.Millisecond, ReadOnly: readOnly, Messages: []byte("m")}
		units.Go(func() {
			start := time.Now()
			_, err := r.Execute(context.Background(), u, func([]byte) error { return nil })
			r.cluster.mu.Lock()
			defer r.cluster.mu.Unlock()
			count.all++
			switch {
			case err != nil:
				count.failed++
				if e, ok := result.As(err); ok && e.Code.Family() != result.FamilyDidNotRun && time.Since(start) < time.Second {
					count.cut++
				}
			case time.Since(start) <= readObjective:
				count.inTime++
			}
		})
		_ = clock.Sleep(context.Background(), clock.System{}, time.Second/time.Duration(perSecond))
	}
	units.Wait()
}

// run runs streams side by side, with the tasks of the group.
func (r *replay) run(streams ...func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks, all sync.WaitGroup
	tasks.Go(func() { r.Run(ctx) })
	for _, s := range streams {
		all.Go(s)
	}
	all.Wait()
	cancel()
	tasks.Wait()
}

// during returns a condition that holds with a probability from one time after now to another. It
// depends on the time alone, so that the order of goroutines does not change the load.
func during(from, to time.Duration, probability float64) func() bool {
	start := time.Now()
	return func() bool {
		age := time.Since(start)
		draw := rand.New(rand.NewPCG(11, uint64(age.Milliseconds()))).Float64()
		return age >= from && age < to && draw < probability
	}
}

// compare runs a replay without and with the health of members.
func compare(t *testing.T, work time.Duration, play func(r *replay), check func(is *is.I, without, with *replay)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var both [2]*replay
		for k := range both {
			both[k] = newReplay(k == 1, work)
			play(both[k])
			for name, count := range both[k].results {
				t.Logf("health %t: %s: %d units, %.3f in time, %d failed", k == 1, name, count.all, count.share(), count.failed)
			}
			for a, m := range both[k].cluster.members {
				t.Logf("health %t: %s: %d statements, %d hung, %d failed, %d lagging", k == 1, a, m.reached, m.hung, m.failed, m.lagging)
			}
		}
		check(is.New(t), both[0], both[1])
	})
}

// A primary answers its probes and hangs four of five statements for eight seconds; both replicas
// are well and could answer each read. Guards against reads that wait for the primary meanwhile, and
// against a wait estimated from timeouts that outlasts the hang.
func TestReplayOfAHangingPrimary(t *testing.T) {
	compare(t, 20*time.Millisecond, func(r *replay) {
		r.cluster.members["p"].hangs = during(2*time.Second, 10*time.Second, 0.8)
		r.run(func() { r.send("fresh", "fresh", true, 10, 14*time.Second) },
			func() { r.send("write", "fresh", false, 5, 14*time.Second) },
			func() { r.send("aged", "aged", true, 20, 14*time.Second) })
	}, func(is *is.I, without, with *replay) {
		is.True(with.results["fresh"].share() >= 0.95)
		is.True(with.results["aged"].share() >= 0.99)
		is.True(with.results["write"].inTime >= without.results["write"].inTime)
		is.Equal(with.results["write"].cut, 0)
		is.True(with.results["fresh"].share() > without.results["fresh"].share())
	})
}

// Two replicas lag for six seconds, under 200 reads a second that require data of the last 1.5
// seconds. Guards against reads that ask both before the primary, and against replicas that are
// left out when they have caught up.
func TestReplayOfLaggingReplicas(t *testing.T) {
	for name, applied := range map[string]func(age time.Duration) time.Duration{
		"apply late":    func(time.Duration) time.Duration { return 6 * time.Second },
		"apply nothing": func(age time.Duration) time.Duration { return age + time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			compare(t, 4*time.Millisecond, func(r *replay) {
				start := time.Now()
				for _, a := range []string{"r1", "r2"} {
					r.cluster.members[a].applied = func() logpos.Position {
						now := time.Now()
						if age := now.Sub(start); age < 6*time.Second {
							return r.cluster.position(now.Add(-applied(age)))
						}
						return r.cluster.position(now)
					}
				}
				r.run(func() { r.send("aged", "aged", true, 200, 8*time.Second) })
			}, func(is *is.I, without, with *replay) {
				wasted := with.cluster.members["r1"].lagging + with.cluster.members["r2"].lagging
				is.True(wasted <= with.results["aged"].all/20)
				is.True(with.results["aged"].share() >= 0.99)
				is.True(with.cluster.members["r1"].reached+with.cluster.members["r2"].reached-wasted >= 200)
			})
		})
	}
}

// A replica fails each read at once, goes up and down by turns, or hangs most reads. Guards against
// callers that lose reads which the others could serve.
func TestReplayOfAnUnreliableReplica(t *testing.T) {
	for name, spoil := range map[string]func(m *replayMember){
		"fails": func(m *replayMember) { m.fails = during(2*time.Second, 10*time.Second, 1) },
		"hangs": func(m *replayMember) { m.hangs = during(2*time.Second, 10*time.Second, 0.8) },
		"flaps": func(m *replayMember) {
			start := time.Now()
			m.hangs = func() bool {
				age := time.Since(start)
				return age < 10*time.Second && int(age/time.Second)%2 == 1
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			compare(t, 20*time.Millisecond, func(r *replay) {
				spoil(r.cluster.members["r1"])
				r.run(func() { r.send("aged", "aged", true, 60, 14*time.Second) })
			}, func(is *is.I, without, with *replay) {
				is.Equal(with.results["aged"].failed, 0)
				is.True(with.results["aged"].share() >= 0.99)
				is.Equal(with.Health.State("r1"), memberhealth.Healthy)
				is.True(with.results["aged"].failed <= without.results["aged"].failed)
			})
		})
	}
}

// Guards against reads that are ended early although nothing may be sent again: they would fail
// sooner instead of being answered late.
func TestReadsAreEndedEarlyWithinTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, tokens := range []bool{true, false} {
			r := newReplay(true, time.Millisecond)
			if !tokens {
				r.Budget = retry.New(retry.Config{Group: "g", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 2)), Ratio: 0.001, PerSecond: 0.001, Burst: 0.5})
			}
			r.run(func() { r.send("fresh", "fresh", true, 20, time.Second) })
			r.cluster.members["p"].hangs = func() bool { return true }
			start := time.Now()
			r.run(func() { r.send("one", "fresh", true, 1, time.Second) })
			is.Equal(time.Since(start) < 1100*time.Millisecond, true)
			is.Equal(r.results["one"].inTime == 1, tokens)
			is.Equal(r.cluster.members["p"].hung, 1)
			is.Equal(r.results["one"].cut, 0)
		}
	})
}

// Guards against a wait that is estimated from timeouts once a member serves again.
func TestTimeoutsAreNotServiceTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReplay(true, 20*time.Millisecond)
		r.cluster.members["p"].hangs = func() bool { return true }
		r.run(func() { r.send("hung", "fresh", false, 10, 2*time.Second) })
		r.cluster.members["p"].hangs = nil
		r.run(func() { r.send("after", "fresh", false, 100, 200*time.Millisecond) })
		is.Equal(r.results["after"].inTime, r.results["after"].all)
	})
}
