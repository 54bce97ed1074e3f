package config

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

func TestChangeBecomesCurrentOnEveryInstance(t *testing.T) {
	for _, n := range []int{1, 3, 8, 60} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, n)
			defer f.stopAll()
			is.Equal(f.mustApply(f.instances[0], "orders", 2, 0).Version, int64(1))
			f.waitForVersion("orders", 1, 2*time.Second)
			is.Equal(f.mustApply(f.instances[n-1], "orders", 3, 1).Version, int64(2))
			f.waitForVersion("orders", 2, time.Second)
			time.Sleep(peerSyncTimeout)
			for _, instance := range f.instances {
				a, g, ok := instance.FindGroup("orders-1")
				is.True(ok)
				is.Equal(a.Version, int64(2))
				is.Equal(g.Slots, 3)
				is.True(instance.Ready())
			}
		})
	}
}

// A failure domain is cut off from the platform and from all other instances
// while a document changes. It continues with its current version. After it is
// reconnected, its instances have the new version within seconds.
func TestCutOffDomainCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 8)
		defer f.stopAll()
		f.mustApply(f.instances[0], "orders", 2, 0)
		f.waitForVersion("orders", 1, 2*time.Second)
		f.setDomainCut("fln-c", true)
		// Wait until open watches have ended, so that the change below does not
		// reach the instances through them.
		synctest.Wait()
		f.mustApply(f.instances[0], "orders", 3, 1)
		time.Sleep(time.Minute)
		is.Equal(f.versions("orders"), []int64{2, 2, 1, 2, 2, 1, 2, 2})
		is.True(f.instances[2].Ready())
		f.setDomainCut("fln-c", false)
		f.waitForVersion("orders", 2, 5*time.Second)
	})
}

// All instances of a failure domain lose the platform but can still reach the
// other instances. A change made elsewhere reaches them through digest
// exchanges.
func TestDomainWithoutPlatformLearnsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		defer f.stopAll()
		f.mustApply(f.instances[0], "orders", 2, 0)
		f.waitForVersion("orders", 1, 2*time.Second)
		for _, i := range []int{2, 5} {
			f.instances[i].link.disconnect()
		}
		synctest.Wait()
		f.mustApply(f.instances[0], "orders", 3, 1)
		f.waitForVersion("orders", 2, 10*time.Second)
	})
}

// An instance restarts while the platform is down. It has no documents and
// cannot read the instance list. Its peers still list it, so their digests
// reach it, and it becomes ready with their documents.
func TestRestartDuringOutageGetsDocumentsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 8)
		defer f.stopAll()
		f.mustApply(f.instances[0], "orders", 2, 0)
		f.mustApply(f.instances[0], "orders", 3, 1)
		f.waitForVersion("orders", 2, 2*time.Second)
		f.platform.SetFaults(standin.Faults{Outage: true})
		f.instances[4].stop()
		f.instances[4] = f.startInstance(4)
		is.True(!f.instances[4].Ready())
		f.waitForVersion("orders", 2, 10*time.Second)
		time.Sleep(10 * time.Second)
		is.True(f.instances[4].Ready())
	})
}

// An instance starts while the platform is down and no peer knows it. With a
// configured seed it gets the documents from there; without one it is not ready
// and retries until the platform is available.
func TestStartDuringOutage(t *testing.T) {
	for _, seeds := range [][]string{{"10.0.0.0:1"}, nil} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 3)
			defer f.stopAll()
			f.mustApply(f.instances[0], "orders", 2, 0)
			f.platform.SetFaults(standin.Faults{Outage: true})
			f.inventory.Instances = append(f.inventory.Instances, platform.Instance{ID: "new", FailureDomain: "poa-a", PeerAddress: "10.0.0.9:1"})
			f.seeds = seeds
			fresh := f.startInstance(3)
			defer fresh.stop()
			time.Sleep(20 * time.Second)
			is.Equal(fresh.Ready(), seeds != nil)
			f.platform.SetFaults(standin.Faults{})
			time.Sleep(10 * time.Second)
			is.True(fresh.Ready())
		})
	}
}

// A watch resumes from a revision that the platform has compacted. The relay
// lists again and misses no change.
func TestCompactedWatchListsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stopAll()
		n := f.instances[0]
		f.mustApply(n, "orders", 2, 0)
		time.Sleep(time.Second)
		n.link.disconnect()
		synctest.Wait()
		other := newFleetSharingPlatform(t, f)
		defer other.stopAll()
		other.mustApply(other.instances[0], "orders", 3, 1)
		other.mustApply(other.instances[0], "stock", 3, 0)
		f.platform.Compact(platform.KindService)
		n.link.reconnect()
		f.waitForVersion("orders", 2, 5*time.Second)
		f.waitForVersion("stock", 1, time.Second)
	})
}

// The platform loses its store and restarts at zero with an old version of the
// document. No instance reverts to it: the current version is kept, and is
// stored again so that a new instance gets it.
func TestPlatformRestartedAtZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		defer f.stopAll()
		for v := range int64(5) {
			f.mustApply(f.instances[0], "orders", 2+int(v), v)
		}
		f.waitForVersion("orders", 5, 2*time.Second)
		empty := standin.NewStore()
		empty.SetInventory(f.inventory)
		old := Envelope{Change: Change{Version: 2, ID: "old", By: "ana"}, Text: documentText("orders", 3)}
		value, err := old.encode()
		is.NoErr(err)
		_, err = empty.Put(t.Context(), platform.KindService, "orders", value, 0)
		is.NoErr(err)
		f.platform.replace(empty)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(f.versions("orders"), []int64{5, 5, 5})
		}
		b, err := f.instances[0].readBase(t.Context(), "orders")
		is.NoErr(err)
		is.Equal(b.Version, int64(5))
		f.instances[1].stop()
		f.instances[1] = f.startInstance(1)
		f.waitForVersion("orders", 5, 2*time.Second)
		is.Equal(f.mustApply(f.instances[1], "orders", 9, 5).Version, int64(6))
		f.waitForVersion("orders", 6, 2*time.Second)
	})
}

// Pushes are lost. Instances that do not watch the platform get the change from
// a digest exchange seconds later.
func TestLostPushIsRepairedByDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleetWithRelays(t, 24, 1)
		defer f.stopAll()
		f.mustApply(f.instances[0], "orders", 2, 0)
		f.waitForVersion("orders", 1, 10*time.Second)
		f.net.setFlag(f.net.droppedMethods, methodPush, true)
		f.mustApply(f.instances[0], "orders", 3, 1)
		took := f.waitForVersion("orders", 2, 20*time.Second)
		is.True(took > 50*time.Millisecond)
		f.net.setFlag(f.net.droppedMethods, methodPush, false)
		f.mustApply(f.instances[0], "orders", 4, 2)
		f.waitForVersion("orders", 3, 50*time.Millisecond)
	})
}

// A peer sends a document that cannot be parsed, one with another service's
// name, a lower version, and a different change with the current version. All
// are rejected, and the service continues with its current document.
func TestBadDocumentFromPeerIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		defer f.stopAll()
		f.mustApply(f.instances[0], "orders", 2, 0)
		f.mustApply(f.instances[0], "orders", 3, 1)
		f.waitForVersion("orders", 2, 2*time.Second)
		s := f.instances[1].Store
		is.Equal(s.adoptVersion("orders", Envelope{Change: Change{Version: 3, ID: "x"}, Text: "[service"}, FromPush), VersionInvalid)
		is.Equal(s.adoptVersion("orders", Envelope{Change: Change{Version: 3, ID: "y"}, Text: documentText("stock", 1)}, FromPush), VersionInvalid)
		is.Equal(s.adoptVersion("orders", Envelope{Change: Change{Version: 1, ID: "z"}, Text: documentText("orders", 1)}, FromPush), VersionLower)
		is.Equal(s.adoptVersion("orders", Envelope{Change: Change{Version: 2, ID: "z"}, Text: documentText("orders", 1)}, FromPush), VersionDiverged)
		time.Sleep(10 * time.Second)
		is.Equal(f.versions("orders"), []int64{2, 2, 2})
		is.Equal(f.mustApply(f.instances[2], "orders", 4, 2).Version, int64(3))
		f.waitForVersion("orders", 3, 5*time.Second)
	})
}

// Ten instances that are not relays restart at the same time. They become ready
// with the documents of their peers, and none of them lists the platform.
func TestStartAsksPeersBeforeThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleetWithRelays(t, 24, 1)
		defer f.stopAll()
		f.mustApply(f.instances[0], "orders", 2, 0)
		f.waitForVersion("orders", 1, 20*time.Second)
		time.Sleep(20 * time.Second)
		before := f.platform.Calls()[standin.CallList]
		started := 0
		for i, n := range f.instances {
			if !n.topology.isRelay() && started < 10 {
				started++
				n.stop()
				f.instances[i] = f.startInstance(i)
			}
		}
		f.waitForVersion("orders", 1, 5*time.Second)
		time.Sleep(2 * time.Second)
		for _, n := range f.instances {
			is.True(n.Ready())
		}
		is.Equal(f.platform.Calls()[standin.CallList], before)
	})
}

// newFleetSharingPlatform starts a fleet of one instance that uses the platform
// of f but has its own network.
func newFleetSharingPlatform(t *testing.T, f *testFleet) *testFleet {
	other := &testFleet{t: t, platform: f.platform, net: newNetwork(), relaysPerDomain: f.relaysPerDomain,
		inventory: platform.Inventory{Instances: []platform.Instance{{ID: "other", FailureDomain: "far", PeerAddress: "10.9.0.1:1"}}}}
	other.instances = append(other.instances, other.startInstance(0))
	return other
}
