package failover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/logpos"
)

const seed = 7

func TestHealthyGroupIsUnchanged(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		x.advance(time.Minute)
		is.Equal(x.wantPrimary(1), 0)
		is.Equal(len(x.store.Calls()), 0)
		x.wantWritable(x.instances[1], "k")
	})
}

// The primary's process is killed while three instances write. Callers see errors
// during the gap, then writes continue at a replica, which must have every
// acknowledged write. The old primary restarts and follows.
func TestKilledPrimaryIsReplaced(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		for _, i := range x.instances {
			defer x.startWriter(i)()
		}
		x.advance(200 * time.Millisecond)
		x.nodes[0].Kill()
		x.advance(time.Second)
		p := x.wantPrimary(2)
		is.True(p != 0)
		is.Equal(len(x.gaps), 1)
		x.t.Logf("gap %+v", x.gaps[0])
		is.True(x.gaps[0].Total() < 400*time.Millisecond)
		for k, i := range x.instances {
			x.wantWritable(i, "after-"+domain(k))
		}
		x.nodes[0].Stop()
		is.NoErr(x.nodes[0].Start())
		x.advance(2 * time.Second)
		x.wantAttached(0, 2)
	})
}

// The primary's failure domain is cut off in both directions. The primary there still
// considers itself primary and accepts writes, and the instance there sends writes and
// gets answers. No write may be acknowledged that the other side does not have.
func TestCutOffDomainIsReplaced(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		stop := x.startWriter(x.instances[0])
		x.advance(200 * time.Millisecond)
		x.cutDomain(0, x.net.Cut)
		x.advance(20 * time.Millisecond)
		acked := x.ackedCount()
		x.advance(2 * time.Second)
		is.Equal(x.ackedCount(), acked)
		is.Equal(len(x.gaps), 1)
		x.t.Logf("gap %+v", x.gaps[0])
		x.wantWritable(x.instances[1], "while cut")
		is.True(x.nodes[0].Status().EnteredTerm == 1)
		stop()
		x.cutDomain(0, x.net.Heal)
		x.advance(3 * time.Second)
		is.True(x.wantPrimary(2) != 0)
		x.wantAttached(0, 2)
		x.wantWritable(x.instances[0], "healed")
	})
}

// Everything that the primary sends is lost, but it still receives: it commits
// writes and gets commands, but nobody gets its answers.
func TestCutOneWayIsReplaced(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		defer x.startWriter(x.instances[1])()
		x.advance(100 * time.Millisecond)
		for _, h := range x.allHosts() {
			if h != x.hosts[0] {
				x.net.CutOneWay(x.hosts[0], h)
			}
		}
		x.advance(2 * time.Second)
		is.True(x.wantPrimary(2) != 0)
		x.wantWritable(x.instances[1], "k")
	})
}

// The primary's process freezes and resumes ten seconds later, with a write from
// before the freeze still in its sockets. After the thaw that write commits in the
// old term; it must never be acknowledged.
func TestFrozenPrimaryAcknowledgesNothingAfterThaw(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		x.net.Freeze(x.hosts[0])
		frozen := make(chan error, 1)
		go func() { frozen <- x.writeAt(x.instances[1], 1, x.addresses[0], "frozen") }()
		x.advance(10 * time.Second)
		is.True(x.wantPrimary(2) != 0)
		is.True(<-frozen != nil)
		x.net.Thaw(x.hosts[0])
		is.True(x.writeAt(x.instances[1], 1, x.addresses[0], "thawed") != nil)
		x.advance(2 * time.Second)
		x.wantAttached(0, 2)
		x.wantWritable(x.instances[2], "k")
	})
}

// The link between one instance and the primary fails. Two domains reach the
// primary and one does not: there must be no failover.
func TestOneCutLinkCausesNoFailover(t *testing.T) {
	for k := 1; k < 3; k++ {
		withCluster(t, seed, func(x *cluster) {
			x.net.Cut(x.instances[k].ip, x.hosts[0])
			x.advance(30 * time.Second)
			x.wantPrimary(1)
			x.wantWritable(x.instances[3-k], "k")
		})
	}
}

// An instance's link to the new primary is cut before the failover, so that this instance
// never gets a report of the new primary. It must not conclude that the term has no primary.
func TestOneCutLinkToANewPrimaryCausesNoFailover(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		x.nodes[0].Kill()
		x.net.Cut(x.instances[0].ip, x.hosts[1])
		x.net.Cut(x.instances[2].ip, x.hosts[2])
		x.advance(5 * time.Second)
		term, _ := x.primaries()
		x.advance(30 * time.Second)
		termAfter, primaries := x.primaries()
		if termAfter != term || len(primaries) != 1 {
			x.t.Errorf("term %d became %d, primaries %v", term, termAfter, primaries)
		}
	})
}

// The primary pauses repeatedly for half the detection time, and then for nearly
// the time that three probes take. It is slow and not lost: nobody is promoted.
func TestShortPausePromotesNobody(t *testing.T) {
	for _, pause := range []time.Duration{75 * time.Millisecond, 145 * time.Millisecond} {
		withCluster(t, seed, func(x *cluster) {
			for k := range 150 {
				x.net.Freeze(x.hosts[0])
				x.advance(pause)
				x.net.Thaw(x.hosts[0])
				x.advance(time.Duration(50+k) * time.Millisecond)
			}
			x.wantPrimary(1)
			x.wantWritable(x.instances[1], "k")
		})
	}
}

// A replica has a longer log, with a tail from an older term. The member with the shorter
// log of the newer term must be promoted: the tail was never acknowledged, and must be
// dropped.
func TestLongerTailOfAnOlderTermIsDiscarded(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		for k := 1; k < 3; k++ {
			x.net.Cut(x.hosts[0], x.hosts[k])
		}
		for _, key := range []string{"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"} {
			is.True(x.writeAt(x.instances[0], 1, x.addresses[0], key) != nil)
		}
		x.nodes[0].Kill()
		x.advance(2 * time.Second)
		p := x.wantPrimary(2)
		x.wantWritable(x.instances[1], "kept")
		x.nodes[0].Stop()
		is.NoErr(x.nodes[0].Start())
		for k := 1; k < 3; k++ {
			x.net.Heal(x.hosts[0], x.hosts[k])
		}
		is.True(x.nodes[0].Status().LastRecord.Position > x.nodes[p].Status().LastRecord.Position)
		x.nodes[p].Kill()
		x.advance(3 * time.Second)
		is.Equal(x.wantPrimary(3), 3-p)
		x.wantAttached(0, 3)
		_, tail := x.nodes[0].Rows("kv")["t8"]
		is.True(!tail)
		is.Equal(x.nodes[0].Status().LastRecord, x.nodes[3-p].Status().LastRecord)
	})
}

// The primary leaves as planned. Another member becomes primary within seconds, the
// old one follows it, and no acknowledged write is lost.
func TestLeavingPrimaryIsSwitchedOver(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		for _, i := range x.instances {
			defer x.startWriter(i)()
		}
		x.advance(200 * time.Millisecond)
		for _, i := range x.instances {
			i.watcher.SetLeaving(x.addresses[:1])
		}
		x.advance(time.Second)
		is.True(x.wantPrimary(2) != 0)
		x.wantAttached(0, 2)
		x.wantWritable(x.instances[0], "k")
		x.advance(10 * time.Second)
		term, _ := x.primaries()
		is.Equal(term, logpos.Term(2))
	})
}

// A failure domain with one replica is cut off. The instance there reaches neither
// the primary nor any witness. It must not promote its replica: the other members
// still have a majority and continue to acknowledge writes.
func TestMinorityDomainPromotesNobody(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		defer x.startWriter(x.instances[0])()
		x.cutDomain(2, x.net.Cut)
		x.advance(10 * time.Second)
		is.Equal(x.wantPrimary(1), 0)
		is.True(x.write(x.instances[2], "minority") != nil)
		before := x.ackedCount()
		x.advance(time.Second)
		is.True(x.ackedCount() > before)
		x.cutDomain(2, x.net.Heal)
		x.advance(3 * time.Second)
		is.Equal(x.wantPrimary(1), 0)
		x.wantWritable(x.instances[2], "healed")
	})
}

// One replica lags by a second, so that only the other one has the latest
// acknowledged writes. The primary is killed. Regardless of which replica answers
// first, the one with the longer log must be promoted.
func TestLaggingReplicaIsNotPromoted(t *testing.T) {
	for lagging := 1; lagging < 3; lagging++ {
		withCluster(t, seed, func(x *cluster) {
			x.nodes[lagging].SetReplicationLag(time.Second)
			stop := x.startWriter(x.instances[3-lagging])
			x.advance(2 * time.Second)
			x.nodes[0].Kill()
			stop()
			x.advance(2 * time.Second)
			if p := x.wantPrimary(2); p != 3-lagging {
				x.t.Errorf("member %d was promoted", p)
			}
		})
	}
}
