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

// hasty is a clock whose timers fire at once.
type hasty struct{ clock.System }

func (hasty) NewTimer(time.Duration) *time.Timer { return time.NewTimer(0) }

// versionMachine drives three stores step by step, without their loops, and
// checks after each step that no version ever falls and that no two changes
// carry the same version.
type versionMachine struct {
	platform *switchable
	net      *network
	nodes    []*node
	starts   int
	// seen is the highest version that each node's subscribers saw.
	seen map[*node]int64
	// makers maps an accepted version to the change that made it.
	makers map[int64]string
	// accepted is the highest version that an operator was told of.
	accepted int64
}

func newVersionMachine() *versionMachine {
	m := &versionMachine{platform: &switchable{Store: standin.NewStore()}, net: newNetwork(),
		seen: map[*node]int64{}, makers: map[int64]string{}}
	m.platform.SetInventory(machineInventory())
	for i := range testDomains {
		m.nodes = append(m.nodes, m.start(i))
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

func (m *versionMachine) start(i int) *node {
	m.starts++
	self := machineInventory().Instances[i]
	r := rand.New(rand.NewPCG(uint64(m.starts), uint64(i)))
	g := newGate(m.platform)
	members := membership.New(membership.Options{API: g, Clock: hasty{}, Rand: r, Self: self, PerFailureDomain: 1})
	e := endpoint{m.net, self.PeerAddress}
	n := &node{id: self.ID, gate: g, members: members, Store: New(Options{API: g, Clock: hasty{}, Rand: r, Fleet: members, Peers: e, Registry: e})}
	n.Subscribe(func(a Applied) {
		if a.Version <= m.seen[n] {
			panic(fmt.Sprintf("%s went from version %d to %d", n.id, m.seen[n], a.Version))
		}
		m.seen[n] = a.Version
	})
	return n
}

func (m *versionMachine) pick(t *rapid.T, label string) int {
	return rapid.IntRange(0, len(m.nodes)-1).Draw(t, label)
}

// apply changes the document from the version in force or an older one, with
// the way to the platform whole or losing requests or answers.
func (m *versionMachine) apply(t *rapid.T) {
	n := m.nodes[m.pick(t, "node")]
	current, _ := n.Current("orders")
	from := max(0, current.Version-int64(rapid.IntRange(0, 1).Draw(t, "behind")))
	switch rapid.SampledFrom([]string{"whole", "request lost", "answer lost"}).Draw(t, "way") {
	case "request lost":
		n.gate.intercept(1, lostBefore)
	case "answer lost":
		n.gate.intercept(1, lostAfter)
	}
	o, err := n.Apply(t.Context(), "orders", text("orders", 1+int(from)%900), from, "ana")
	n.gate.intercept(0, nil)
	if err != nil {
		t.Fatal(err)
	}
	if o.State == Accepted {
		m.accepted = max(m.accepted, o.Version)
		if o.Version != from+1 {
			t.Fatalf("accepted as version %d from %d", o.Version, from)
		}
		if other := m.makers[o.Version]; other != "" {
			t.Fatalf("version %d was made by %s and by %s", o.Version, other, o.ChangeID)
		}
		m.makers[o.Version] = o.ChangeID
	}
}

func (m *versionMachine) list(t *rapid.T) {
	w := &watcher{store: m.nodes[m.pick(t, "node")].Store, revision: unlisted}
	_ = w.list(t.Context())
}

func (m *versionMachine) exchange(t *rapid.T) {
	a, b := m.pick(t, "a"), m.pick(t, "b")
	m.sync(t, a, b)
}

func (m *versionMachine) sync(t *rapid.T, a, b int) {
	_ = m.nodes[a].repairWith(t.Context(), machineInventory().Instances[b].PeerAddress)
}

// replay sends a node an older version, as a delayed push would.
func (m *versionMachine) replay(t *rapid.T) {
	n := m.nodes[m.pick(t, "node")]
	version := int64(rapid.IntRange(1, 5).Draw(t, "version"))
	if id := m.makers[version]; id != "" {
		n.receive([]wireDocument{{Name: "orders", Envelope: Envelope{Change: Change{Version: version, ID: id}, Text: text("orders", 7)}}}, FromPush)
	}
}

// restart replaces a node by one that knows nothing. It serves when it has
// asked the platform and a peer, which Ready demands.
func (m *versionMachine) restart(t *rapid.T) {
	i := m.pick(t, "node")
	m.nodes[i] = m.start(i)
	_ = (&watcher{store: m.nodes[i].Store, revision: unlisted}).list(t.Context())
	m.sync(t, i, (i+1)%len(m.nodes))
}

// lose empties the platform's store, after the last change has spread: a
// change that only the platform and one instance ever had can be lost with both.
func (m *versionMachine) lose(t *rapid.T) {
	for range m.nodes {
		for i := range m.nodes {
			m.sync(t, i, (i+1)%len(m.nodes))
		}
	}
	empty := standin.NewStore()
	empty.SetInventory(machineInventory())
	m.platform.replace(empty)
}

func (m *versionMachine) check(t *rapid.T) {
	for _, n := range m.nodes {
		a, ok := n.Current("orders")
		if !ok {
			continue
		}
		if a.Version < m.seen[n] {
			t.Fatalf("%s went back from %d to %d", n.id, m.seen[n], a.Version)
		}
		if made := m.makers[a.Version]; made != "" && made != a.ID {
			t.Fatalf("%s holds version %d by change %s, accepted was %s", n.id, a.Version, a.ID, made)
		}
		if a.Version > m.accepted {
			t.Fatalf("%s holds version %d, none past %d was accepted", n.id, a.Version, m.accepted)
		}
	}
}

// Operators change one document through three instances while answers are
// lost, old versions arrive late, instances start anew and the platform loses
// its store. No instance ever goes back, and each version is one change.
func TestVersionsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newVersionMachine()
		t.Repeat(map[string]func(*rapid.T){
			"apply": m.apply, "list": m.list, "exchange": m.exchange, "replay": m.replay,
			"restart": m.restart, "lose": m.lose, "": m.check,
		})
	})
}
