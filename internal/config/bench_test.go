package config

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

// fixedFleet is a view that never changes.
type fixedFleet struct {
	live []platform.Instance
	self int
}

func fixedFleetOf(n int) *fixedFleet {
	f := &fixedFleet{}
	for i := range n {
		f.live = append(f.live, platform.Instance{ID: fmt.Sprintf("e%05d", i),
			FailureDomain: fmt.Sprintf("fd-%d", i%7), PeerAddress: fmt.Sprintf("10.0.%d.%d:6433", i/250, i%250)})
	}
	return f
}

func (f *fixedFleet) Self() platform.Instance   { return f.live[f.self] }
func (f *fixedFleet) Live() []platform.Instance { return f.live }
func (f *fixedFleet) Subscribe(func())          {}

func (f *fixedFleet) Pick(_ string, n int) []platform.Instance {
	return slices.Clone(f.live[:min(7*n, len(f.live))])
}

// benchText is the larger of the examples under another name.
func benchText(b *testing.B, name string) string {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "base-ligacoes.ini"))
	if err != nil {
		b.Fatal(err)
	}
	s := strings.Replace(string(text), "name = base-ligacoes", "name = "+name, 1)
	s = strings.ReplaceAll(s, "[group ligacoes-", "[group "+name+"-")
	return s
}

func benchStore(net *network, fleet *fixedFleet) *Store {
	e := endpoint{net, fleet.Self().PeerAddress}
	return New(Options{Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 1)), Fleet: fleet, Peers: e, Registry: e})
}

// fill puts the first version of n documents in force without spreading them.
func fill(b *testing.B, n int, stores ...*Store) {
	for i := range n {
		name := fmt.Sprintf("service-%04d", i)
		text := benchText(b, name)
		for _, s := range stores {
			if s.take(name, Envelope{Change: Change{Version: 1, ID: "a", By: "ana"}, Text: text}) != Adopted {
				b.Fatal("not adopted")
			}
		}
	}
}

func pairOf(net *network) (a, z *Store) {
	one, two := fixedFleetOf(2), fixedFleetOf(2)
	two.self = 1
	return benchStore(net, one), benchStore(net, two)
}

func sent(net *network) int {
	net.mu.Lock()
	defer net.mu.Unlock()
	total := 0
	for _, n := range net.bytes {
		total += n
	}
	return total
}

// BenchmarkDigest is one beat: with peers that agree, and with one document
// that is newer at the peer. The bytes are those of parameters and answers in
// both directions.
func BenchmarkDigest(b *testing.B) {
	for _, documents := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("agree/documents=%d", documents), func(b *testing.B) {
			net := newNetwork()
			one, two := pairOf(net)
			fill(b, documents, one, two)
			before := sent(net)
			for b.Loop() {
				if err := one.repairWith(context.Background(), two.options.Fleet.Self().PeerAddress); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(sent(net)-before)/float64(b.N), "bytes/beat")
		})
		b.Run(fmt.Sprintf("repair/documents=%d", documents), func(b *testing.B) {
			net := newNetwork()
			one, two := pairOf(net)
			fill(b, documents, one, two)
			text := benchText(b, "service-0042")
			before, version := sent(net), int64(1)
			for b.Loop() {
				version++
				two.take("service-0042", Envelope{Change: Change{Version: version, ID: "a", By: "ana"}, Text: text})
				if err := one.repairWith(context.Background(), two.options.Fleet.Self().PeerAddress); err != nil {
					b.Fatal(err)
				}
				if a, _ := one.Current("service-0042"); a.Version != version {
					b.Fatal("not repaired")
				}
			}
			b.ReportMetric(float64(sent(net)-before)/float64(b.N), "bytes/repair")
		})
	}
}

// BenchmarkPush is one change at an inner node of the tree: the version is
// checked, put in force, and pushed to its children. The bytes are those of one
// push.
func BenchmarkPush(b *testing.B) {
	for _, peers := range []int{8, 100, 1000, 7400} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			net := newNetwork()
			s := benchStore(net, fixedFleetOf(peers))
			for _, address := range s.contact.children("service-0000") {
				child := endpoint{net, address}
				child.Handle(methodPush, discard)
			}
			text, version := benchText(b, "service-0000"), int64(0)
			before, children := sent(net), 0
			for b.Loop() {
				version++
				s.take("service-0000", Envelope{Change: Change{Version: version, ID: "a", By: "ana"}, Text: text})
				s.pushToChildren(context.Background(), "service-0000")
				children = len(s.contact.children("service-0000"))
			}
			b.ReportMetric(float64(children), "children")
			b.ReportMetric(float64(sent(net)-before)/float64(b.N)/float64(max(children, 1)), "bytes/push")
		})
	}
}

// BenchmarkHeld is the memory of the documents in force.
func BenchmarkHeld(b *testing.B) {
	for _, documents := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("documents=%d", documents), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				s := benchStore(newNetwork(), fixedFleetOf(1))
				fill(b, documents, s)
				b.ReportMetric(float64(heap()-before)/float64(documents), "bytes/document")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func discard(context.Context, string, json.RawMessage) (any, error) { return pushReply{}, nil }
