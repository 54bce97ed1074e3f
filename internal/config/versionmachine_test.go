package config

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/membership"
	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// instantClock is a clock whose timers fire immediately.
type instantClock struct{ clock.System }

func (instantClock) NewTimer(time.Duration) *time.Timer { return time.NewTimer(0) }

// versionMachine is a state machine that operates three stores step by step,
// without their background loops. After each step it checks that no version
// decreased and that no two changes have the same version.
type versionMachine struct {
	platform   *replaceablePlatform
	net        *network
	instances  []*testInstance
	startCount int
	// highestSeen is the highest version that the subscribers of each instance
	// saw.
	highestSeen map[*testInstance]int64
	// acceptedIDs maps an accepted version to the ID of its change.
	acceptedIDs map[int64]string
	// highestAccepted is the highest version that was reported as accepted.
	highestAccepted int64
}

func newVersionMachine() *versionMachine {
	m := &versionMachine{platform: &replaceablePlatform{Store: standin.NewStore()}, net: newNetwork(),
		highestSeen: map[*testInstance]int64{}, acceptedIDs: map[int64]string{}}
	m.platform.SetInventory(machineInventory())
	for i := range testDomains {
		m.instances = append(m.instances, m.startInstance(i))
	}
	return m
}

func machineInventory() platform.Inventory {
	var list platform.Inventory
	for i, domain := range testDomains {
		list.Instances = append(list.Instances, platform.Instance{ID: fmt.Sprintf("e%d", i),
			FailureDomain: domain, PeerAddress: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return list
}

func (m *versionMachine) startInstance(i int) *testInstance {
	m.startCount++
	self := machineInventory().Instances[i]
	r := rand.New(rand.NewPCG(uint64(m.startCount), uint64(i)))
	link := newPlatformLink(m.platform)
	members := membership.New(membership.Options{API: link, Clock: instantClock{}, Rand: r, Self: self, PerFailureDomain: 1})
	e := endpoint{m.net, self.PeerAddress}
	n := &testInstance{id: self.ID, link: link, members: members, Store: New(Options{API: link, Clock: instantClock{}, Rand: r, Fleet: members, Peers: e, Registry: e})}
	n.Subscribe(func(a Applied) {
		if a.Version <= m.highestSeen[n] {
			panic(fmt.Sprintf("%s went from version %d to %d", n.id, m.highestSeen[n], a.Version))
		}
		m.highestSeen[n] = a.Version
	})
	return n
}

func (m *versionMachine) pickInstance(t *rapid.T, label string) int {
	return rapid.IntRange(0, len(m.instances)-1).Draw(t, label)
}

// applyChange changes the document from the current version or an older one.
// Requests to the platform or their answers may be lost.
func (m *versionMachine) applyChange(t *rapid.T) {
	n := m.instances[m.pickInstance(t, "node")]
	current, _ := n.Current("orders")
	from := max(0, current.Version-int64(rapid.IntRange(0, 1).Draw(t, "behind")))
	switch rapid.SampledFrom([]string{"whole", "request lost", "answer lost"}).Draw(t, "way") {
	case "request lost":
		n.link.interceptPuts(1, loseRequest)
	case "answer lost":
		n.link.interceptPuts(1, loseAnswer)
	}
	o, err := n.Apply(t.Context(), "orders", documentText("orders", 1+int(from)%900), from, "ana")
	n.link.interceptPuts(0, nil)
	if err != nil {
		t.Fatal(err)
	}
	if o.State == Accepted {
		m.highestAccepted = max(m.highestAccepted, o.Version)
		if o.Version != from+1 {
			t.Fatalf("accepted as version %d from %d", o.Version, from)
		}
		if other := m.acceptedIDs[o.Version]; other != "" {
			t.Fatalf("version %d was created by both %s and %s", o.Version, other, o.ChangeID)
		}
		m.acceptedIDs[o.Version] = o.ChangeID
	}
}

func (m *versionMachine) listPlatform(t *rapid.T) {
	w := &watcher{store: m.instances[m.pickInstance(t, "node")].Store, revision: unlisted}
	_ = w.listAll(t.Context())
}

func (m *versionMachine) repairRandomPair(t *rapid.T) {
	a, b := m.pickInstance(t, "a"), m.pickInstance(t, "b")
	m.repairBetween(t, a, b)
}

func (m *versionMachine) repairBetween(t *rapid.T, a, b int) {
	_ = m.instances[a].repairWithPeer(t.Context(), machineInventory().Instances[b].PeerAddress)
}

// replayOldVersion sends an instance an older version, as a delayed push does.
func (m *versionMachine) replayOldVersion(t *rapid.T) {
	n := m.instances[m.pickInstance(t, "node")]
	version := int64(rapid.IntRange(1, 5).Draw(t, "version"))
	if id := m.acceptedIDs[version]; id != "" {
		n.adoptDocuments([]wireDocument{{Name: "orders", Envelope: Envelope{Change: Change{Version: version, ID: id}, Text: documentText("orders", 7)}}}, FromPush)
	}
}

// restartInstance replaces an instance by one without any state. The new
// instance calls the platform and a peer, which Ready requires before an
// instance serves.
func (m *versionMachine) restartInstance(t *rapid.T) {
	i := m.pickInstance(t, "node")
	m.instances[i] = m.startInstance(i)
	_ = (&watcher{store: m.instances[i].Store, revision: unlisted}).listAll(t.Context())
	m.repairBetween(t, i, (i+1)%len(m.instances))
}

// losePlatformStore empties the platform's store. It first exchanges digests
// so that all instances have the last change: a change that only the platform
// and one instance have can be lost if both fail.
func (m *versionMachine) losePlatformStore(t *rapid.T) {
	for range m.instances {
		for i := range m.instances {
			m.repairBetween(t, i, (i+1)%len(m.instances))
		}
	}
	empty := standin.NewStore()
	empty.SetInventory(machineInventory())
	m.platform.replace(empty)
}

func (m *versionMachine) checkInvariants(t *rapid.T) {
	for _, n := range m.instances {
		a, ok := n.Current("orders")
		if !ok {
			continue
		}
		if a.Version < m.highestSeen[n] {
			t.Fatalf("%s reverted from %d to %d", n.id, m.highestSeen[n], a.Version)
		}
		if acceptedID := m.acceptedIDs[a.Version]; acceptedID != "" && acceptedID != a.ID {
			t.Fatalf("%s has version %d of change %s, but change %s was accepted", n.id, a.Version, a.ID, acceptedID)
		}
		if a.Version > m.highestAccepted {
			t.Fatalf("%s has version %d, but no version above %d was accepted", n.id, a.Version, m.highestAccepted)
		}
	}
}

// Operators change one document through three instances while answers are lost,
// old versions arrive late, instances restart and the platform loses its store.
// No instance may revert to a lower version, and each version must belong to
// exactly one change.
func TestVersionsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newVersionMachine()
		t.Repeat(map[string]func(*rapid.T){
			"apply": m.applyChange, "list": m.listPlatform, "exchange": m.repairRandomPair, "replay": m.replayOldVersion,
			"restart": m.restartInstance, "lose": m.losePlatformStore, "": m.checkInvariants,
		})
	})
}
