package failover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The primary is cut off only from the other members: every instance reaches it, and
// it commits writes that no replica receives. Callers are told that the outcome is
// unknown, and no member answers late. A replica must still be promoted.
func TestPrimaryCutOffFromItsReplicasIsReplaced(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		is := is.New(x.t)
		defer x.startWriter(x.instances[1])()
		x.advance(100 * time.Millisecond)
		x.net.Cut(x.hosts[0], x.hosts[1])
		x.net.Cut(x.hosts[0], x.hosts[2])
		x.advance(8 * time.Second)
		is.True(x.wantPrimary(2) != 0)
		x.wantWritable(x.instances[0], "k")
		x.advance(30 * time.Second)
		x.wantPrimary(2)
		x.net.Heal(x.hosts[0], x.hosts[1])
		x.net.Heal(x.hosts[0], x.hosts[2])
		x.advance(2 * time.Second)
		x.wantAttached(0, 2)
	})
}

// Both replicas lag by three seconds and the group is nearly idle, so their
// positions do not change for seconds. That is lag and must not cause a failover.
func TestLagIsNotAStall(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		for k := 1; k < 3; k++ {
			x.nodes[k].SetReplicationLag(3 * time.Second)
		}
		for k := range 10 {
			_ = x.write(x.instances[k%3], "late-"+domain(k))
			x.advance(4 * time.Second)
		}
		x.wantPrimary(1)
	})
}

// The primary's latency grows, as under increasing load, to forty times its initial
// value. It is reachable all the time: nobody is promoted.
func TestGrowingLatencyPromotesNobody(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		defer x.startWriter(x.instances[1])()
		for ms := 1; ms <= 40; ms++ {
			for _, h := range x.allHosts() {
				if h != x.hosts[0] {
					x.net.SetLatency(x.hosts[0], h, time.Duration(ms)*time.Millisecond)
				}
			}
			x.advance(2 * time.Second)
		}
		x.wantPrimary(1)
	})
}

// All latencies suddenly grow by a factor of seventy, beyond the timeout of any probe.
// The members are slow and not lost: after a while they are reachable again, writes
// succeed, and the members do not depose each other.
func TestSuddenSlownessDoesNotRepeatFailovers(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		all := x.allHosts()
		for k, a := range all {
			for _, b := range all[k+1:] {
				x.net.SetLatency(a, b, 70*time.Millisecond)
			}
		}
		x.advance(30 * time.Second)
		term, primaries := x.primaries()
		if term > 3 || len(primaries) != 1 {
			x.t.Errorf("term %d, primaries %v", term, primaries)
		}
		x.advance(2 * time.Minute)
		if termAfter, _ := x.primaries(); termAfter != term {
			x.t.Errorf("term %d became %d", term, termAfter)
		}
		for _, i := range x.instances {
			for _, m := range i.watcher.Snapshot().Members {
				if m.Failures > 0 || time.Since(m.ReportedAt) > time.Second {
					x.t.Errorf("%s does not see %s", i.ID, m.Address)
				}
			}
		}
		x.nodes[primaries[0]].Kill()
		x.advance(30 * time.Second)
		termAfter, primariesAfter := x.primaries()
		if termAfter == term || len(primariesAfter) != 1 || primariesAfter[0] == primaries[0] {
			x.t.Errorf("the primary was killed in term %d; term %d has primaries %v", term, termAfter, primariesAfter)
		}
	})
}

// The current primary is under a load that stops it for 400 ms each second. If it were
// replaced immediately each time, the load and the stops would move to each successor in
// turn. After a few terms the group must keep its primary.
func TestStallingPrimariesDoNotDeposeEachOther(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		for range 50 {
			_, primaries := x.primaries()
			for _, k := range primaries {
				x.net.Freeze(x.hosts[k])
			}
			x.advance(400 * time.Millisecond)
			for _, h := range x.hosts {
				x.net.Thaw(h)
			}
			x.advance(600 * time.Millisecond)
		}
		if term, _ := x.primaries(); term > 4 {
			x.t.Errorf("term %d after 50 stops", term)
		}
		x.wantWritable(x.instances[1], "k")
	})
}
