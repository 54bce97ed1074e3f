package failover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/logpos"
	standin "github.com/topazrock/topazrock/internal/standin/member"
)

const seed = 7

func TestHealthyGroupIsLeftAlone(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		x.after(time.Minute)
		is.Equal(x.wantPrimary(1), 0)
		is.Equal(len(x.store.Calls()), 0)
		x.wantWritable(x.instances[1], "k")
	})
}

// The primary's process is killed while three instances write. Callers see
// errors for the gap, then writes go on at a replica; none of those that were
// acknowledged may be missing there. The old primary comes back and follows.
func TestKilledPrimaryIsReplaced(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		for _, i := range x.instances {
			defer x.writer(i)()
		}
		x.after(200 * time.Millisecond)
		x.nodes[0].Kill()
		x.after(time.Second)
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
		x.after(2 * time.Second)
		x.wantAttached(0, 2)
	})
}

// The primary's failure domain is cut off both ways. The primary there still
// believes that it leads and takes writes, and the instance there sends them
// and gets answers. It must acknowledge none that the other side does not have.
func TestCutOffDomainIsReplaced(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		stop := x.writer(x.instances[0])
		x.after(200 * time.Millisecond)
		x.cutDomain(0, x.net.Cut)
		x.after(20 * time.Millisecond)
		acked := x.ackedCount()
		x.after(2 * time.Second)
		is.Equal(x.ackedCount(), acked)
		is.Equal(len(x.gaps), 1)
		x.t.Logf("gap %+v", x.gaps[0])
		x.wantWritable(x.instances[1], "while cut")
		is.True(x.nodes[0].Status().Entered == 1)
		stop()
		x.cutDomain(0, x.net.Heal)
		x.after(3 * time.Second)
		is.True(x.wantPrimary(2) != 0)
		x.wantAttached(0, 2)
		x.wantWritable(x.instances[0], "healed")
	})
}

// What the primary sends is lost, and what is sent to it arrives: it commits
// writes and hears commands, but nobody hears it.
func TestCutOneWayIsReplaced(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		defer x.writer(x.instances[1])()
		x.after(100 * time.Millisecond)
		for _, h := range x.allHosts() {
			if h != x.hosts[0] {
				x.net.CutOneWay(x.hosts[0], h)
			}
		}
		x.after(2 * time.Second)
		is.True(x.wantPrimary(2) != 0)
		x.wantWritable(x.instances[1], "k")
	})
}

// The primary's process stops and goes on ten seconds later, with a write of
// before the stop still in its sockets. That write commits in the old term when
// it thaws; it must never be acknowledged.
func TestFrozenPrimaryConfirmsNothingWhenItThaws(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		x.net.Freeze(x.hosts[0])
		frozen := make(chan error, 1)
		go func() { frozen <- x.writeAt(x.instances[1], 1, x.addresses[0], "frozen") }()
		x.after(10 * time.Second)
		is.True(x.wantPrimary(2) != 0)
		is.True(<-frozen != nil)
		x.net.Thaw(x.hosts[0])
		is.True(x.writeAt(x.instances[1], 1, x.addresses[0], "thawed") != nil)
		x.after(2 * time.Second)
		x.wantAttached(0, 2)
		x.wantWritable(x.instances[2], "k")
	})
}

// One link fails, that between one instance and the primary. Two domains see the
// primary and one does not: nothing may move.
func TestOneCutLinkMovesNothing(t *testing.T) {
	for k := 1; k < 3; k++ {
		inCluster(t, seed, func(x *cluster) {
			x.net.Cut(x.instances[k].ip, x.hosts[0])
			x.after(30 * time.Second)
			x.wantPrimary(1)
			x.wantWritable(x.instances[3-k], "k")
		})
	}
}

// The same after a failover: the cut instance never hears from the new primary
// itself, and must not take its term for one without a primary.
func TestOneCutLinkToANewPrimaryMovesNothing(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		x.nodes[0].Kill()
		x.net.Cut(x.instances[0].ip, x.hosts[1])
		x.net.Cut(x.instances[2].ip, x.hosts[2])
		x.after(5 * time.Second)
		term, _ := x.primaries()
		x.after(30 * time.Second)
		again, leading := x.primaries()
		if again != term || len(leading) != 1 {
			x.t.Errorf("term %d became %d, leading %v", term, again, leading)
		}
	})
}

// The primary stops for half the detection time, again and again, and then for
// nearly all of the time that three probes take. It is slow and not lost: nobody
// is promoted.
func TestShortPausePromotesNobody(t *testing.T) {
	for _, pause := range []time.Duration{75 * time.Millisecond, 145 * time.Millisecond} {
		inCluster(t, seed, func(x *cluster) {
			for k := range 150 {
				x.net.Freeze(x.hosts[0])
				x.after(pause)
				x.net.Thaw(x.hosts[0])
				x.after(time.Duration(50+k) * time.Millisecond)
			}
			x.wantPrimary(1)
			x.wantWritable(x.instances[1], "k")
		})
	}
}

// A replica carries a longer tail of an older term. The shorter log of the newer
// term is worth more: the tail was never acknowledged, and must be dropped.
func TestLongerTailOfAnOlderTermIsDiscarded(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		for k := 1; k < 3; k++ {
			x.net.Cut(x.hosts[0], x.hosts[k])
		}
		for _, key := range []string{"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"} {
			is.True(x.writeAt(x.instances[0], 1, x.addresses[0], key) != nil)
		}
		x.nodes[0].Kill()
		x.after(2 * time.Second)
		p := x.wantPrimary(2)
		x.wantWritable(x.instances[1], "kept")
		x.nodes[0].Stop()
		is.NoErr(x.nodes[0].Start())
		for k := 1; k < 3; k++ {
			x.net.Heal(x.hosts[0], x.hosts[k])
		}
		is.True(x.nodes[0].Status().Last.Position > x.nodes[p].Status().Last.Position)
		x.nodes[p].Kill()
		x.after(3 * time.Second)
		is.Equal(x.wantPrimary(3), 3-p)
		x.wantAttached(0, 3)
		_, tail := x.nodes[0].Rows("kv")["t8"]
		is.True(!tail)
		is.Equal(x.nodes[0].Status().Last, x.nodes[3-p].Status().Last)
	})
}

// The primary leaves, as planned. Another member leads within seconds, the old
// one follows it, and no acknowledged write is lost.
func TestLeavingPrimaryIsSwitchedOver(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		for _, i := range x.instances {
			defer x.writer(i)()
		}
		x.after(200 * time.Millisecond)
		for _, i := range x.instances {
			i.w.SetLeaving(x.addresses[:1])
		}
		x.after(time.Second)
		is.True(x.wantPrimary(2) != 0)
		x.wantAttached(0, 2)
		x.wantWritable(x.instances[0], "k")
		x.after(10 * time.Second)
		term, _ := x.primaries()
		is.Equal(term, logpos.Term(2))
	})
}

// A failure domain with one replica is cut off. The instance there loses sight
// of the primary and of everybody who could object. It must not promote its
// replica: the others still have a majority and go on acknowledging.
func TestMinorityDomainPromotesNobody(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		defer x.writer(x.instances[0])()
		x.cutDomain(2, x.net.Cut)
		x.after(10 * time.Second)
		is.Equal(x.wantPrimary(1), 0)
		is.True(x.write(x.instances[2], "minority") != nil)
		before := x.ackedCount()
		x.after(time.Second)
		is.True(x.ackedCount() > before)
		x.cutDomain(2, x.net.Heal)
		x.after(3 * time.Second)
		is.Equal(x.wantPrimary(1), 0)
		x.wantWritable(x.instances[2], "healed")
	})
}

// One replica is a second behind, so that the other alone holds what was
// acknowledged last. The primary is killed. Whichever replica answers first, the
// one that holds more must be promoted.
func TestReplicaFarBehindIsNotPromoted(t *testing.T) {
	for behind := 1; behind < 3; behind++ {
		inCluster(t, seed, func(x *cluster) {
			x.nodes[behind].SetReplicationLag(time.Second)
			stop := x.writer(x.instances[3-behind])
			x.after(2 * time.Second)
			x.nodes[0].Kill()
			stop()
			x.after(2 * time.Second)
			if p := x.wantPrimary(2); p != 3-behind {
				x.t.Errorf("member %d was promoted", p)
			}
		})
	}
}

// The primary is cut off from the other members alone: every instance reaches
// it, and it commits writes that no replica gets. Callers hear that the outcome
// is unknown, and nothing answers late. A replica is promoted all the same.
func TestPrimaryCutOffFromItsReplicasIsReplaced(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		defer x.writer(x.instances[1])()
		x.after(100 * time.Millisecond)
		x.net.Cut(x.hosts[0], x.hosts[1])
		x.net.Cut(x.hosts[0], x.hosts[2])
		x.after(8 * time.Second)
		is.True(x.wantPrimary(2) != 0)
		x.wantWritable(x.instances[0], "k")
		x.after(30 * time.Second)
		x.wantPrimary(2)
		x.net.Heal(x.hosts[0], x.hosts[1])
		x.net.Heal(x.hosts[0], x.hosts[2])
		x.after(2 * time.Second)
		x.wantAttached(0, 2)
	})
}

// Both replicas are three seconds behind and the group is nearly idle, so that
// their positions stand still for seconds. That is lag and no reason to move.
func TestLagIsNotAStall(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		for k := 1; k < 3; k++ {
			x.nodes[k].SetReplicationLag(3 * time.Second)
		}
		for k := range 10 {
			_ = x.write(x.instances[k%3], "late-"+domain(k))
			x.after(4 * time.Second)
		}
		x.wantPrimary(1)
	})
}

// The primary answers more and more slowly, as under growing load, until it
// takes forty times as long as at first. It is there all the time: nobody is promoted.
func TestGrowingLatencyPromotesNobody(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		defer x.writer(x.instances[1])()
		for ms := 1; ms <= 40; ms++ {
			for _, h := range x.allHosts() {
				if h != x.hosts[0] {
					x.net.SetLatency(x.hosts[0], h, time.Duration(ms)*time.Millisecond)
				}
			}
			x.after(2 * time.Second)
		}
		x.wantPrimary(1)
	})
}

// From one moment to the next everything takes seventy times as long, more than
// any probe was given. The members are slow and not gone: after a while they are
// seen again and writes go through, and they do not depose each other.
func TestSuddenSlownessDoesNotGoRound(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		all := x.allHosts()
		for k, a := range all {
			for _, b := range all[k+1:] {
				x.net.SetLatency(a, b, 70*time.Millisecond)
			}
		}
		x.after(30 * time.Second)
		term, leading := x.primaries()
		if term > 3 || len(leading) != 1 {
			x.t.Errorf("term %d, leading %v", term, leading)
		}
		x.after(2 * time.Minute)
		if again, _ := x.primaries(); again != term {
			x.t.Errorf("term %d became %d", term, again)
		}
		for _, i := range x.instances {
			for _, m := range i.w.Snapshot().Members {
				if m.Failures > 0 || time.Since(m.SeenAt) > time.Second {
					x.t.Errorf("%s does not see %s", i.ID, m.Address)
				}
			}
		}
		x.nodes[leading[0]].Kill()
		x.after(30 * time.Second)
		after, still := x.primaries()
		if after == term || len(still) != 1 || still[0] == leading[0] {
			x.t.Errorf("the primary was killed in term %d; term %d is led by %v", term, after, still)
		}
	})
}

// Whoever leads is under a load that stops it for 400 ms each second. Replaced at
// once, it would hand the load and the stops on to the next, for ever. After a
// few terms the group must stay with its primary.
func TestStallingPrimariesDoNotDeposeEachOther(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		for range 50 {
			_, leading := x.primaries()
			for _, k := range leading {
				x.net.Freeze(x.hosts[k])
			}
			x.after(400 * time.Millisecond)
			for _, h := range x.hosts {
				x.net.Thaw(h)
			}
			x.after(600 * time.Millisecond)
		}
		if term, _ := x.primaries(); term > 4 {
			x.t.Errorf("term %d after 50 stops", term)
		}
		x.wantWritable(x.instances[1], "k")
	})
}

// Five members, of which two are lost at once: the primary and the replica that
// is ahead of the others. Writes were acknowledged by two replicas each, so that
// one of the three that are left holds them all.
func TestTwoOfFiveAreLost(t *testing.T) {
	for ahead := 1; ahead < 5; ahead++ {
		inClusterOf(t, 5, seed, func(x *cluster) {
			for k := 1; k < 5; k++ {
				if k != ahead {
					x.nodes[k].SetReplicationLag(time.Duration(k) * 100 * time.Millisecond)
				}
			}
			for _, i := range x.instances {
				defer x.writer(i)()
			}
			x.after(2 * time.Second)
			x.nodes[0].Kill()
			x.nodes[ahead].Kill()
			x.after(2 * time.Second)
			p := x.wantPrimary(2)
			if p == 0 || p == ahead {
				x.t.Errorf("member %d leads", p)
			}
			for k, n := range x.nodes {
				n.SetReplicationLag(lag)
				if k != 0 && k != ahead && k != p {
					x.wantAttached(k, 2)
				}
			}
			x.after(time.Second)
			x.wantWritable(x.instances[1], "k")
		})
	}
}

// Three of five are lost. Nobody may be promoted: the two that are left may lack
// what was acknowledged. When a third comes back, the group goes on.
func TestThreeOfFiveAreLost(t *testing.T) {
	inClusterOf(t, 5, seed, func(x *cluster) {
		is := is.New(x.t)
		x.wantWritable(x.instances[1], "before")
		for k := range 3 {
			x.nodes[k].Kill()
		}
		x.after(30 * time.Second)
		term, _ := x.primaries()
		is.Equal(term, logpos.Term(1))
		is.True(x.write(x.instances[1], "refused") != nil)
		x.revive(1)
		x.after(5 * time.Second)
		x.wantPrimary(2)
		x.wantWritable(x.instances[1], "k")
	})
}

// Three members that have entered no term come up. The group has no object on
// the platform and no primary to lose; it must get its first one all the same.
func TestNewGroupGetsItsFirstPrimary(t *testing.T) {
	inCluster(t, seed, func(x *cluster) {
		for k, n := range x.nodes {
			n.Stop()
			x.nodes[k] = standin.New(standin.Options{
				Address: x.addresses[k], Network: x.net.Host(x.hosts[k]), ConnectDelay: connectDelay, ReplicationLag: lag})
		}
		for _, i := range x.instances {
			i.cancel()
			<-i.done
		}
		for _, n := range x.nodes {
			if err := n.Start(); err != nil {
				x.t.Fatal(err)
			}
		}
		for _, i := range x.instances {
			x.run(i)
		}
		x.after(4 * time.Second)
		x.wantPrimary(1)
		x.wantWritable(x.instances[0], "first")
	})
}
