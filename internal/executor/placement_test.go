package executor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/wire"
)

// All instances have lost power, and one replica still counts their connections. Reads must go to
// the other replica and to the primary; no read may be sent to the full replica only to be refused.
func TestReadsAvoidMemberWithoutFreeConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, cluster := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
		cluster.full = map[string]bool{"r1": true}
		for range 40 {
			_, _, err := readOnce(t, g)
			is.NoErr(err)
		}
		is.Equal(cluster.refusedAcquires, 0)
	})
}

// There is no primary, and both replicas have received what a read must see and apply it a few
// milliseconds later. The read must wait for that: if each replica were asked only once, the
// read would be refused for a lag that every replica has.
func TestReadWithoutPrimaryWaitsForReplicaApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lagging := func() *fakeMember {
			return &fakeMember{failure: &wire.Failure{Kind: wire.FailureLagging}, failsUntil: time.Now().Add(40 * time.Millisecond)}
		}
		g, cluster := newFakeGroup(&fakeMember{}, lagging(), lagging())
		cluster.snapshot.Primary = ""
		cluster.snapshot.Members = cluster.snapshot.Members[1:]
		cluster.snapshot.Size = 3
		_, elapsed, err := readOnce(t, g)
		is.NoErr(err)
		is.True(elapsed >= 40*time.Millisecond)
		is.True(elapsed < replicaApplyWait)
	})
}

// A caller opens a transaction with a read and keeps it open for seconds. How long its slot was
// held says nothing about how long answers take: the next read, with a short deadline, must not
// be refused as one that cannot be served in time.
func TestOpenTransactionTimeIsNotCountedAsAnswerTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, cluster := newFakeGroup(&fakeMember{}, &fakeMember{opensTransaction: true, delay: 5 * time.Millisecond}, &fakeMember{})
		cluster.snapshot.Primary, cluster.snapshot.Members = "", cluster.snapshot.Members[1:2]
		g.Wire.SlotPerConnection = true
		begin := &execution.Unit{ID: "t", Group: "g", Class: "aged", Timeout: time.Minute, ReadOnly: true, BeginsTransaction: true, ReadOnlyTransaction: true}
		var open []string
		for range 4 {
			reply, err := g.Execute(t.Context(), begin, nil)
			is.NoErr(err)
			open = append(open, reply.Transaction)
		}
		_ = clock.Sleep(t.Context(), clock.System{}, 5*time.Second)
		for _, id := range open {
			g.AbandonTransaction("g", id)
		}
		_ = clock.Sleep(t.Context(), clock.System{}, time.Second)
		cluster.mu.Lock()
		cluster.members["r1"].opensTransaction = false
		cluster.members["r1"].delay = 100 * time.Millisecond
		cluster.mu.Unlock()
		for range 4 {
			go func() { _, _, _ = readOnce(t, g) }()
		}
		synctest.Wait()
		// All four slots are in use for 100 ms, and the next read waits for one.
		u := &execution.Unit{ID: "u", Group: "g", Class: "aged", Timeout: 500 * time.Millisecond, ReadOnly: true, Messages: []byte("read")}
		_, err := g.Execute(context.Background(), u, nil)
		is.NoErr(err)
		_ = clock.Sleep(t.Context(), clock.System{}, time.Second)
	})
}

// The primary has missed one probe. Units of this instance still wait for it, as one late
// answer means little, but other homes must not learn that it is writable: what they send would
// be lost with it.
func TestPrimaryWithMissedProbeIsNotOfferedToOtherHomes(t *testing.T) {
	is := is.New(t)
	g, cluster := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
	is.Equal(g.currentCapability(), capability{Writes: true, Reads: true})
	cluster.snapshot.Members[0].FailingSince, cluster.snapshot.Members[0].Failures = time.Now(), 1
	_, err := g.findWritablePrimary()
	is.NoErr(err)
	is.Equal(g.currentCapability(), capability{Reads: true})
}
