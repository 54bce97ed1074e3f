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

// fixedFleet is a membership view that never changes.
type fixedFleet struct {
	live []platform.Instance
	self int
}

func newFixedFleet(n int) *fixedFleet {
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

func (f *fixedFleet) PickInstances(_ string, n int) []platform.Instance {
	return slices.Clone(f.live[:min(7*n, len(f.live))])
}

// exampleText returns the larger example document under another name.
func exampleText(b *testing.B, name string) string {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "base-ligacoes.ini"))
	if err != nil {
		b.Fatal(err)
	}
	s := strings.Replace(string(text), "name = base-ligacoes", "name = "+name, 1)
	s = strings.ReplaceAll(s, "[group ligacoes-", "[group "+name+"-")
	return s
}

func newBenchStore(net *network, fleet *fixedFleet) *Store {
	e := endpoint{net, fleet.Self().PeerAddress}
	return New(Options{Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 1)), Fleet: fleet, Peers: e, Registry: e})
}

// fillStores installs the first version of n documents without pushing them.
func fillStores(b *testing.B, n int, stores ...*Store) {
	for i := range n {
		name := fmt.Sprintf("service-%04d", i)
		text := exampleText(b, name)
		for _, s := range stores {
			if s.installVersion(name, Envelope{Change: Change{Version: 1, ID: "a", By: "ana"}, Text: text}) != VersionAdopted {
				b.Fatal("not adopted")
			}
		}
	}
}

func newStorePair(net *network) (first, second *Store) {
	one, two := newFixedFleet(2), newFixedFleet(2)
	two.self = 1
	return newBenchStore(net, one), newBenchStore(net, two)
}

func totalBytes(net *network) int {
	net.mu.Lock()
	defer net.mu.Unlock()
	total := 0
	for _, n := range net.bytes {
		total += n
	}
	return total
}

// BenchmarkDigest measures one digest exchange: with a peer that has the same
// documents, and with a peer that has a higher version of one document. The
// bytes include the parameters and replies of all calls, in both directions.
func BenchmarkDigest(b *testing.B) {
	for _, documents := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("agree/documents=%d", documents), func(b *testing.B) {
			net := newNetwork()
			one, two := newStorePair(net)
			fillStores(b, documents, one, two)
			before := totalBytes(net)
			for b.Loop() {
				if err := one.repairWithPeer(context.Background(), two.options.Fleet.Self().PeerAddress); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(totalBytes(net)-before)/float64(b.N), "bytes/beat")
		})
		b.Run(fmt.Sprintf("repair/documents=%d", documents), func(b *testing.B) {
			net := newNetwork()
			one, two := newStorePair(net)
			fillStores(b, documents, one, two)
			text := exampleText(b, "service-0042")
			before, version := totalBytes(net), int64(1)
			for b.Loop() {
				version++
				two.installVersion("service-0042", Envelope{Change: Change{Version: version, ID: "a", By: "ana"}, Text: text})
				if err := one.repairWithPeer(context.Background(), two.options.Fleet.Self().PeerAddress); err != nil {
					b.Fatal(err)
				}
				if a, _ := one.Current("service-0042"); a.Version != version {
					b.Fatal("not repaired")
				}
			}
			b.ReportMetric(float64(totalBytes(net)-before)/float64(b.N), "bytes/repair")
		})
	}
}

// BenchmarkPush measures one change at an inner node of the tree: the version
// is validated, made current, and pushed to the children. The bytes are those
// of one push.
func BenchmarkPush(b *testing.B) {
	for _, peers := range []int{8, 100, 1000, 7400} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			net := newNetwork()
			s := newBenchStore(net, newFixedFleet(peers))
			for _, address := range s.topology.childAddresses("service-0000") {
				child := endpoint{net, address}
				child.Handle(methodPush, discardPush)
			}
			text, version := exampleText(b, "service-0000"), int64(0)
			before, children := totalBytes(net), 0
			for b.Loop() {
				version++
				s.installVersion("service-0000", Envelope{Change: Change{Version: version, ID: "a", By: "ana"}, Text: text})
				s.pushToChildren(context.Background(), "service-0000")
				children = len(s.topology.childAddresses("service-0000"))
			}
			b.ReportMetric(float64(children), "children")
			b.ReportMetric(float64(totalBytes(net)-before)/float64(b.N)/float64(max(children, 1)), "bytes/push")
		})
	}
}

// BenchmarkHeld measures the memory used by the current documents.
func BenchmarkHeld(b *testing.B) {
	for _, documents := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("documents=%d", documents), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				s := newBenchStore(newNetwork(), newFixedFleet(1))
				fillStores(b, documents, s)
				b.ReportMetric(float64(heapBytes()-before)/float64(documents), "bytes/document")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func discardPush(context.Context, string, json.RawMessage) (any, error) { return pushReply{}, nil }
