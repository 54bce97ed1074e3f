package failover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/logpos"
	standin "github.com/topazrock/topazrock/internal/standin/member"
)

// Two of five members are lost at the same time: the primary and the replica with the
// longest log. Each acknowledged write is on two replicas, so one of the three
// remaining members has all of them.
func TestTwoOfFiveAreLost(t *testing.T) {
	for ahead := 1; ahead < 5; ahead++ {
		withClusterOf(t, 5, seed, func(x *cluster) {
			for k := 1; k < 5; k++ {
				if k != ahead {
					x.nodes[k].SetReplicationLag(time.Duration(k) * 100 * time.Millisecond)
				}
			}
			for _, i := range x.instances {
				defer x.startWriter(i)()
			}
			x.advance(2 * time.Second)
			x.nodes[0].Kill()
			x.nodes[ahead].Kill()
			x.advance(2 * time.Second)
			p := x.wantPrimary(2)
			if p == 0 || p == ahead {
				x.t.Errorf("member %d is primary", p)
			}
			for k, n := range x.nodes {
				n.SetReplicationLag(replicationLag)
				if k != 0 && k != ahead && k != p {
					x.wantAttached(k, 2)
				}
			}
			x.advance(time.Second)
			x.wantWritable(x.instances[1], "k")
		})
	}
}

// Three of five members are lost. No member may be promoted: the remaining two may lack
// acknowledged writes. When a third member comes back, the group recovers.
func TestThreeOfFiveAreLost(t *testing.T) {
	withClusterOf(t, 5, seed, func(x *cluster) {
		is := is.New(x.t)
		x.wantWritable(x.instances[1], "before")
		for k := range 3 {
			x.nodes[k].Kill()
		}
		x.advance(30 * time.Second)
		term, _ := x.primaries()
		is.Equal(term, logpos.Term(1))
		is.True(x.write(x.instances[1], "refused") != nil)
		x.restartMember(1)
		x.advance(5 * time.Second)
		x.wantPrimary(2)
		x.wantWritable(x.instances[1], "k")
	})
}

// Three members that have not entered any term start. The group has no object on the
// platform and no primary that could fail; it must still get its first primary.
func TestNewGroupGetsItsFirstPrimary(t *testing.T) {
	withCluster(t, seed, func(x *cluster) {
		for k, n := range x.nodes {
			n.Stop()
			x.nodes[k] = standin.New(standin.Options{
				Address: x.addresses[k], Network: x.net.Host(x.hosts[k]), ConnectDelay: connectDelay, ReplicationLag: replicationLag})
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
			x.startInstance(i)
		}
		x.advance(4 * time.Second)
		x.wantPrimary(1)
		x.wantWritable(x.instances[0], "first")
	})
}
