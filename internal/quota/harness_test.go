package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/standin/peernet"
	"github.com/topazrock/topazrock/internal/workspace"
)

// testTolerance is that of the tests' operators.
var testTolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// limitsInForce are workspaces that a test changes.
type limitsInForce struct {
	mu    sync.Mutex
	table *workspace.Table
}

// Workspaces implements Workspaces.
func (l *limitsInForce) Workspaces() *workspace.Table {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table
}

func (l *limitsInForce) set(all ...workspace.Workspace) {
	var entries []workspace.Entry
	for _, w := range all {
		entries = append(entries, workspace.Entry{Workspace: w})
	}
	table, _ := workspace.NewTable(entries)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table = table
}

func limited(name string, rate, burst float64) workspace.Workspace {
	return workspace.Workspace{Name: name, Limit: workspace.Limit{Rate: rate, Burst: burst}}
}

// testFleet is the view of one instance.
type testFleet struct {
	mu   sync.Mutex
	self platform.Instance
	all  []platform.Instance
}

func (f *testFleet) set(all []platform.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = slices.Clone(all)
}

// Self implements Fleet.
func (f *testFleet) Self() platform.Instance { return f.self }

// Known implements Fleet.
func (f *testFleet) Known() bool { return len(f.Listed()) > 0 }

// Listed implements Fleet.
func (f *testFleet) Listed() []platform.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.all)
}

// Live implements Fleet.
func (f *testFleet) Live() []platform.Instance { return f.Listed() }

// Pick implements Fleet: the first n of each failure domain, which is an order like any other.
func (f *testFleet) Pick(_ string, n int) []platform.Instance {
	taken := make(map[string]int)
	var picked []platform.Instance
	for _, i := range f.Listed() {
		if taken[i.FailureDomain]++; taken[i.FailureDomain] <= n {
			picked = append(picked, i)
		}
	}
	return picked
}

// system is a number of instances that limit workspaces together, in virtual time.
type system struct {
	t         *testing.T
	net       *peernet.Net
	instances []platform.Instance
	limits    *limitsInForce
	nodes     []*node
	seed      uint64

	mu sync.Mutex
	// begun are the times at which operations were begun, by workspace.
	begun map[string][]time.Time
	// asked and refused count operations.
	asked, refused map[string]int
	// waited are the times that operations waited for a token.
	waited []time.Duration
}

// node is one process.
type node struct {
	fleet *testFleet
	guard *Guard
	stop  context.CancelFunc
	ended chan struct{}
}

// newSystem starts instances in failure domains.
func newSystem(t *testing.T, domains, perDomain int, all ...workspace.Workspace) *system {
	s := &system{
		t: t, net: peernet.New(), limits: &limitsInForce{}, begun: make(map[string][]time.Time),
		asked: make(map[string]int), refused: make(map[string]int),
	}
	s.limits.set(all...)
	for n := range domains * perDomain {
		s.instances = append(s.instances, platform.Instance{
			ID: fmt.Sprintf("e%03d", n), FailureDomain: fmt.Sprint("z", n%domains), PeerAddress: fmt.Sprintf("10.0.0.%d:1", n),
		})
	}
	for n := range s.instances {
		s.nodes = append(s.nodes, nil)
		s.start(n, s.instances)
	}
	return s
}

// start starts a process of an instance with a view of the others.
func (s *system) start(n int, view []platform.Instance) {
	s.seed++
	f := &testFleet{self: s.instances[n]}
	f.set(view)
	at := s.net.At(s.instances[n].PeerAddress)
	g := New(Config{
		Process: fmt.Sprint(n, "-", s.seed), Fleet: f, Workspaces: s.limits, Tolerance: testTolerance, Caller: at,
		Clock: clock.System{}, Rand: rand.New(rand.NewPCG(s.seed, 1)), CutOff: func() bool { return false },
		Logger: hclog.NewNullLogger(), Metrics: NewMetrics(nil),
	})
	g.Register(at)
	g.Observe()
	ctx, stop := context.WithCancel(context.Background())
	node := &node{fleet: f, guard: g, stop: stop, ended: make(chan struct{})}
	go func() {
		g.Run(ctx)
		close(node.ended)
	}()
	s.nodes[n] = node
}

// kill ends the process of an instance.
func (s *system) kill(n int) {
	s.net.SetCut(s.instances[n].PeerAddress, true)
	s.nodes[n].stop()
	<-s.nodes[n].ended
}

// restart starts a process of an instance that was killed.
func (s *system) restart(n int) {
	s.net.SetCut(s.instances[n].PeerAddress, false)
	s.start(n, s.instances)
}

// close ends all processes.
func (s *system) close() {
	for _, n := range s.nodes {
		n.stop()
		<-n.ended
	}
}

// operate begins one operation of a workspace at an instance.
func (s *system) operate(n int, name string) bool {
	asked := time.Now()
	refused := s.nodes[n].guard.Take(context.Background(), name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[name]++
	if refused != nil {
		s.refused[name]++
		return false
	}
	s.begun[name] = append(s.begun[name], time.Now())
	s.waited = append(s.waited, time.Since(asked))
	return true
}

// load begins operations of a workspace at random instances, at a rate, for a time.
func (s *system) load(name string, rate float64, length time.Duration, at ...int) *sync.WaitGroup {
	s.seed++
	r := rand.New(rand.NewPCG(s.seed, 2))
	if len(at) == 0 {
		for n := range s.nodes {
			at = append(at, n)
		}
	}
	var all sync.WaitGroup
	all.Go(func() {
		for until := time.Now().Add(length); time.Now().Before(until); {
			time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
			n := at[r.IntN(len(at))]
			all.Go(func() { s.operate(n, name) })
		}
	})
	return &all
}

// most returns the highest number of operations of a workspace that were begun in one window.
func (s *system) most(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(s.begun[name], time.Time.Compare)
	most, first := 0, 0
	for i, at := range s.begun[name] {
		for at.Sub(s.begun[name][first]) > testTolerance.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// within fails the test if a workspace passed its limit.
func (s *system) within(w workspace.Workspace) {
	s.t.Helper()
	if most, allowed := s.most(w.Name), testTolerance.Allowed(w.Limit); float64(most) > allowed {
		s.t.Errorf("workspace %s: %d operations in a window, allowed %.1f", w.Name, most, allowed)
	}
}

// forget drops what was counted.
func (s *system) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.begun)
	clear(s.asked)
	clear(s.refused)
	s.waited = nil
}

// settled is the time after a start in which all buckets are full.
const settled = 4 * time.Second
